import { describe, expect, it } from 'vitest'
import { GossipQueue } from '../../src/membership/GossipQueue.js'

/** Returns how often each name is taken until the queue is empty, and the maximum number of names taken at once. */
function doTest (names: readonly string[], limit: number, fleetSize: number): string {
  const queue = GossipQueue.create()
  for (const name of names) queue.add(name)
  const counts = new Map<string, number>()
  let maxTaken = 0
  while (queue.getSize() > 0) {
    const taken = queue.takeNames(limit, fleetSize)
    maxTaken = Math.max(maxTaken, taken.length)
    for (const name of taken) counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return `${[...counts].sort().map(([name, count]) => `${name} ${count}`).join(', ')}; at most ${maxTaken} at once`
}

describe('GossipQueue', () => {
  it('sends an update about three times the logarithm of the fleet size', () => {
    expect([8, 50, 490].map(size => doTest(['a'], 6, size))).toMatchInlineSnapshot(`
      [
        "a 7; at most 1 at once",
        "a 12; at most 1 at once",
        "a 19; at most 1 at once",
      ]
    `)
  })

  it('limits the number of updates in one message', () => {
    expect(doTest(['a', 'b', 'c', 'd', 'e'], 2, 8)).toMatchInlineSnapshot('"a 7, b 7, c 7, d 7, e 7; at most 2 at once"')
  })

  it('takes the update with the fewest transmissions first', () => {
    const queue = GossipQueue.create()
    queue.add('old')
    queue.takeNames(1, 8)
    queue.add('new')
    expect(queue.takeNames(1, 8)).toEqual(['new'])
  })
})
