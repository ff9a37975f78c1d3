import { describe, expect, it, vi } from 'vitest'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'
import { runSilentStream, SILENT_AFTER_START, type SilentStreamOptions } from '../support/runSilentStream.js'

/** Runs a stream that is silent for a while; returns the fields of the log lines that tell why no other engine was reserved. */
async function doTest (scripts: Record<string, ScriptedAnswer>, options: SilentStreamOptions = {}): Promise<unknown[]> {
  const fields: unknown[] = []
  await runSilentStream(scripts, {
    ...options,
    prepare: ({ log }) => {
      vi.spyOn(log, 'recordDecision').mockImplementation((_, message, values) => { if (message === 'no engine reserved') fields.push(values) })
    }
  })
  return fields
}

describe('reserveEngine', () => {
  it('tells that no other engine has capacity', async () => {
    const [first] = await doTest({ a: SILENT_AFTER_START })
    expect(first).toMatchInlineSnapshot(`
      {
        "excludedCount": 1,
        "found": undefined,
        "maxWaitMs": 18800,
        "missing": "capacity",
      }
    `)
  })

  it('tells that the retry budget is used up', async () => {
    const [first] = await doTest({ a: SILENT_AFTER_START, b: SILENT_AFTER_START }, { extra: 0 })
    expect(first).toMatchInlineSnapshot(`
      {
        "excludedCount": 1,
        "found": "b",
        "maxWaitMs": 15000,
        "missing": "budget",
      }
    `)
  })

  it('tells nothing while engines are reserved', async () => expect(await doTest({ a: { steps: ['END'] } })).toEqual([]))
})
