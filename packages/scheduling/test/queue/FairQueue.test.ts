import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FairQueue, type QueuedItem, type QueueOrder } from '../../src/queue/FairQueue.js'

interface Item extends QueuedItem { readonly name: string }

function createItem (name: string, workspace: string, extra: Partial<QueuedItem> = {}): Item {
  return { name, workspace, priority: 'normal', weight: 1, cost: 100, ...extra }
}

function doTest (items: readonly Item[], order: QueueOrder = 'fair'): string {
  const queue = FairQueue.create<Item>(order)
  for (const item of items) queue.add(item)
  return queue.list().map(({ name }) => name).join(' ')
}

describe('FairQueue', () => {
  it('alternates between workspaces', () => {
    expect(doTest([createItem('a1', 'a'), createItem('a2', 'a'), createItem('a3', 'a'), createItem('b1', 'b')])).toBe('a1 b1 a2 a3')
  })

  it('serves a workspace with a larger weight more often', () => {
    const heavy = ['a1', 'a2', 'a3', 'a4'].map(name => createItem(name, 'a', { weight: 2 }))
    expect(doTest([...heavy, createItem('b1', 'b'), createItem('b2', 'b')])).toBe('a1 b1 a2 a3 b2 a4')
  })

  it('serves high priority first', () => {
    expect(doTest([createItem('n', 'a'), createItem('l', 'a', { priority: 'low' }), createItem('h', 'b', { priority: 'high' })])).toBe('h n l')
  })

  it('serves in order of arrival if configured', () => {
    expect(doTest([createItem('a1', 'a'), createItem('a2', 'a'), createItem('b1', 'b')], 'arrival')).toBe('a1 a2 b1')
  })

  it('does not let an idle workspace accumulate its share', () => {
    const queue = FairQueue.create<Item>('fair')
    for (let index = 0; index < 5; index++) {
      const item = createItem(`a${index}`, 'a')
      queue.add(item)
      queue.remove(item, true)
    }
    for (const name of ['b1', 'b2', 'b3']) queue.add(createItem(name, 'b'))
    queue.add(createItem('a5', 'a'))
    expect(queue.list().map(({ name }) => name).join(' ')).toMatchInlineSnapshot('"b1 b2 a5 b3"')
  })

  it('keeps the served work of backlogged workspaces proportional to their weights within one request each', () => {
    const workspaces = fc.array(fc.record({ weight: fc.integer({ min: 1, max: 5 }), cost: fc.integer({ min: 1, max: 50 }) }), { minLength: 2, maxLength: 5 })
    fc.assert(fc.property(workspaces, fc.integer({ min: 10, max: 60 }), (flows, servedCount) => {
      const queue = FairQueue.create<Item>('fair')
      flows.forEach((flow, index) => {
        for (let count = 0; count < servedCount; count++) queue.add(createItem(`${index}`, `${index}`, flow))
      })
      const work = flows.map(() => 0)
      for (let count = 0; count < servedCount; count++) {
        const item = queue.list()[0] as Item
        work[Number(item.name)] = (work[Number(item.name)] as number) + item.cost / item.weight
        queue.remove(item, true)
      }
      const largest = Math.max(...flows.map(({ cost, weight }) => cost / weight))
      expect(Math.max(...work) - Math.min(...work)).toBeLessThanOrEqual(2 * largest + 1e-9)
    }), { seed: 1, numRuns: 60 })
  })
})
