import { describe, expect, it } from 'vitest'
import { FairQueue, type QueuedItem } from '../../src/queue/FairQueue.js'

interface Item extends QueuedItem { readonly name: string }

function createItem (name: string, extra: Partial<QueuedItem> = {}): Item {
  return { name, workspace: name[0] ?? '', priority: 1, weight: 1, cost: 100, ...extra }
}

function createQueue (items: readonly Item[]): FairQueue<Item> {
  const queue = FairQueue.create<Item>('fair')
  for (const item of items) queue.add(item)
  return queue
}

function doTest (items: readonly Item[], change: (queue: FairQueue<Item>) => void = () => undefined): string {
  const queue = createQueue(items)
  change(queue)
  return queue.list().map(({ name }) => name).join(' ')
}

describe('FairQueue with numeric priorities', () => {
  it('serves lower numbers first, whatever the order in which classes appear', () => {
    expect(doTest([createItem('a', { priority: 9 }), createItem('b', { priority: 0 }), createItem('c', { priority: 4 })])).toBe('b c a')
  })

  it('keeps the debt of a workspace while a more urgent class is served', () => {
    const served = createItem('a0', { cost: 1000 })
    const queue = createQueue([served])
    queue.remove(served, true)
    for (const name of ['u1', 'u2']) {
      const urgent = createItem(name, { priority: 0, cost: 5000 })
      queue.add(urgent)
      queue.remove(urgent, true)
    }
    for (const name of ['a1', 'b1']) queue.add(createItem(name))
    expect(queue.list().map(({ name }) => name)).toEqual(['b1', 'a1'])
  })

  it('serves the lowest rank of a workspace first, in the place that the workspace has', () => {
    expect(doTest([createItem('a1', { rank: 5 }), createItem('b1', { rank: 6 }), createItem('a2', { rank: 2 })])).toBe('a2 b1 a1')
  })

  it('counts no younger request of the same workspace as work ahead', () => {
    const queue = createQueue([createItem('a1', { rank: 5, cost: 30 }), createItem('b1', { rank: 1, cost: 40 })])
    const estimateAhead = (rank: number): number => queue.estimateWorkAhead(createItem('a2', { rank }), () => true)
    expect([estimateAhead(2), estimateAhead(9)]).toEqual([40, 70])
  })

  it('moves the requests of a workspace up when one is withdrawn, so that refusals cost it nothing', () => {
    const withdrawn = createItem('a1')
    const order = doTest([withdrawn, createItem('a2', { rank: 1 }), createItem('b1', { rank: 2 })], queue => queue.withdraw(withdrawn))
    expect(order).toBe('a2 b1')
  })

  it('leaves earlier requests in place when a later one is withdrawn', () => {
    const withdrawn = createItem('a3')
    expect(doTest([createItem('a1'), createItem('a2'), withdrawn, createItem('b1'), createItem('b2')], queue => queue.withdraw(withdrawn))).toBe('a1 b1 a2 b2')
  })

  it('gives the cost of a request that was served in vain back to its workspace', () => {
    const served = createItem('a1', { cost: 500 })
    const queue = createQueue([served, createItem('b1')])
    queue.remove(served, true)
    queue.refund(served)
    queue.add(createItem('a2', { rank: -1 }))
    expect(queue.list().map(({ name }) => name)).toEqual(['a2', 'b1'])
  })
})
