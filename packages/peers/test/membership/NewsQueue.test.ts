import { describe, expect, it } from 'vitest'
import { NewsQueue } from '../../src/membership/NewsQueue.js'

/** Counts how often each name is taken until the queue is empty. */
function doTest (names: readonly string[], limit: number, fleetSize: number): string {
  const queue = NewsQueue.create()
  for (const name of names) queue.add(name)
  const counts = new Map<string, number>()
  let largest = 0
  while (queue.getSize() > 0) {
    const taken = queue.takeNames(limit, fleetSize)
    largest = Math.max(largest, taken.length)
    for (const name of taken) counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return `${[...counts].sort().map(([name, count]) => `${name} ${count}`).join(', ')}; at most ${largest} at once`
}

describe('NewsQueue', () => {
  it('sends one piece of news about three times the logarithm of the size', () => {
    expect([8, 50, 490].map(size => doTest(['a'], 6, size))).toMatchInlineSnapshot(`
      [
        "a 7; at most 1 at once",
        "a 12; at most 1 at once",
        "a 19; at most 1 at once",
      ]
    `)
  })

  it('bounds the news of one message', () => {
    expect(doTest(['a', 'b', 'c', 'd', 'e'], 2, 8)).toMatchInlineSnapshot('"a 7, b 7, c 7, d 7, e 7; at most 2 at once"')
  })

  it('takes first what was sent least', () => {
    const queue = NewsQueue.create()
    queue.add('old')
    queue.takeNames(1, 8)
    queue.add('new')
    expect(queue.takeNames(1, 8)).toEqual(['new'])
  })
})
