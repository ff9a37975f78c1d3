import { describe, expect, it } from 'vitest'
import { createOwner, type Owner, formatEvents } from '../support/createOwner.js'
import { createEnd, createTokens, type ScriptStep } from '../support/FakeTargetClient.js'

type Scripts = Record<string, ScriptStep[][]>

async function doTest (service: string, scripts: Scripts, arrange: (owner: Owner) => void = () => undefined): Promise<string[]> {
  const owner = createOwner()
  for (const [target, streams] of Object.entries(scripts)) owner.targetClient.streams.set(target, streams)
  arrange(owner)
  const events = owner.submit(1, { service, prompt: 'p' })
  await owner.clock.advance(30_000)
  return [...formatEvents(events), ...owner.targetClient.log.map(line => `target: ${line}`)]
}

describe('runGeneration', () => {
  it('delivers a streamed answer in order', async () => {
    expect(await doTest('streamed', { t1: [[createTokens(0, 2), 10, createTokens(2, 1), createEnd(3)]] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0 t1",
        "tokens g1 2 t2",
        "end complete finished",
        "target: start g1 at t1 from 0",
      ]
    `)
  })

  it('delivers a whole answer only when it is complete', async () => {
    expect(await doTest('held', { t1: [[createTokens(0, 2), createTokens(2, 1), createEnd(3)]] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "generation g1",
        "tokens g1 0 t0 t1 t2",
        "end complete finished",
        "target: start g1 at t1 from 0",
      ]
    `)
  })

  it('starts a new generation when the target is lost before the first token', async () => {
    expect(await doTest('streamed', { t1: [['unreachable']], t2: [[createTokens(0, 1), createEnd(1)]] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "generation g2",
        "tokens g2 0 t0",
        "end complete finished",
        "target: start g1 at t1 from 0",
        "target: start g2 at t2 from 0",
      ]
    `)
  })

  it('starts a new generation when one whose tokens have not been delivered is lost', async () => {
    const lost: ScriptStep[][] = [[createTokens(0, 5), 'cut'], ['notFound']]
    expect(await doTest('held', { t1: lost, t2: [[createTokens(0, 2), createEnd(2)]] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "generation g1",
        "generation g2",
        "tokens g2 0 t0 t1",
        "end complete finished",
        "target: start g1 at t1 from 0",
        "target: attach g1 at t1 from 5",
        "target: cancel g1 at t1",
        "target: start g2 at t2 from 0",
      ]
    `)
  })

  it('fails without mixing generations when the target is lost after the first delivered token', async () => {
    const lost: ScriptStep[][] = [[createTokens(0, 2), 10, 'cut'], ['notFound']]
    expect(await doTest('streamed', { t1: lost, t2: [[createTokens(0, 3), createEnd(3)]] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0 t1",
        "end failed targetLost",
        "target: start g1 at t1 from 0",
        "target: attach g1 at t1 from 2",
        "target: cancel g1 at t1",
      ]
    `)
  })

  it('reopens a lost stream of the same generation at its offset', async () => {
    const streams: ScriptStep[][] = [[createTokens(0, 2), 10, 'cut'], [createTokens(2, 2), createEnd(4)]]
    expect(await doTest('streamed', { t1: streams })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0 t1",
        "tokens g1 2 t2 t3",
        "end complete finished",
        "target: start g1 at t1 from 0",
        "target: attach g1 at t1 from 2",
      ]
    `)
  })

  it('skips tokens that a reopened stream repeats', async () => {
    const streams: ScriptStep[][] = [[createTokens(0, 3), 10, 'silent'], [createTokens(1, 3), createEnd(4)]]
    expect(await doTest('streamed', { t1: streams })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0 t1 t2",
        "tokens g1 3 t3",
        "end complete finished",
        "target: start g1 at t1 from 0",
        "target: attach g1 at t1 from 3",
      ]
    `)
  })

  it('rejects an end event whose token count is higher than the number of received tokens', async () => {
    expect(await doTest('held', { t1: [[createTokens(0, 2), createEnd(5)]], t2: [[createTokens(0, 1), createEnd(1)]] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "generation g1",
        "generation g2",
        "tokens g2 0 t0",
        "end complete finished",
        "target: start g1 at t1 from 0",
        "target: cancel g1 at t1",
        "target: start g2 at t2 from 0",
      ]
    `)
  })

  it('sends nothing to a target that cannot be confirmed', async () => {
    expect(await doTest('streamed', { t1: [[createEnd(0)]] }, owner => owner.readyTargets.clear())).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "end notRun viewStale",
      ]
    `)
  })

  it('continues after a new report confirms the target', async () => {
    const arrange = (owner: Owner): void => {
      owner.readyTargets.clear()
      owner.canConfirmTargets = true
    }
    expect(await doTest('streamed', { t1: [[createTokens(0, 1), createEnd(1)]] }, arrange)).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0",
        "end complete finished",
        "target: start g1 at t1 from 0",
      ]
    `)
  })

  it('ends at the deadline and cancels the generation', async () => {
    expect(await doTest('streamed', { t1: [[createTokens(0, 1), 'hang']] })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0",
        "end failed deadlineExceeded",
        "target: start g1 at t1 from 0",
        "target: cancel g1 at t1",
      ]
    `)
  })

  it('ends as notRun when the deadline passes before the request is placed', async () => {
    expect(await doTest('streamed', { t1: [[createEnd(0)]] }, owner => { owner.scheduler.delayMs = 20_000 })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "end notRun deadlineExceeded",
      ]
    `)
  })

  it('ends as failed instead of notRun when no target is left for a generation that has started', async () => {
    const lost: ScriptStep[][] = [[createTokens(0, 5), 'cut'], ['notFound']]
    expect(await doTest('held', { t1: lost })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "generation g1",
        "generation g2",
        "generation g3",
        "end failed targetLost",
        "target: start g1 at t1 from 0",
        "target: attach g1 at t1 from 5",
        "target: cancel g1 at t1",
        "target: start g2 at t2 from 0",
        "target: start g3 at t3 from 0",
      ]
    `)
  })

  it('ends as notRun when no target can be connected', async () => {
    expect(await doTest('held', {})).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "generation g1",
        "generation g2",
        "generation g3",
        "end notRun targetLost",
        "target: start g1 at t1 from 0",
        "target: start g2 at t2 from 0",
        "target: start g3 at t3 from 0",
      ]
    `)
  })

  it('ends as notRun immediately when the scheduler rejects the placement', async () => {
    const arrange = (owner: Owner): void => { owner.scheduler.refusal = { reason: 'overloaded', retryAfterMs: 700, detail: 'full' } }
    expect(await doTest('streamed', {}, arrange)).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "end notRun overloaded",
      ]
    `)
  })
})
