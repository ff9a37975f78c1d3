import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { type Answer, type AnswerResult } from '../../src/index.js'
import { type Fleet, OUTPUT_TOKENS, startFleet } from './startFleet.js'

let fleet: Fleet

beforeEach(async () => { fleet = await startFleet() })
afterEach(async () => await fleet.stop())

/** Reads an answer, runs an action at its tenth token, and returns a description of the tokens and the result. */
async function doTest (answer: Answer, onTenthToken: (request: string) => void = () => {}): Promise<string> {
  const tokens: string[] = []
  for await (const token of answer) {
    tokens.push(token)
    if (tokens.length === 10) onTenthToken(answer.getRequest() ?? '')
  }
  return `${describeTokens(tokens)}, ${describeOutcome(await answer.wait())}`
}

/** Describes the tokens of the stand-in engine, each of which contains its generation and offset. */
function describeTokens (tokens: readonly string[]): string {
  const generations = new Set(tokens.map(token => token.split(':')[0]))
  const isInOrder = tokens.every((token, index) => token.endsWith(`:${index}`))
  return `${tokens.length} of ${OUTPUT_TOKENS} tokens ${isInOrder ? 'in order' : 'out of order'} from ${generations.size} generation`
}

function describeOutcome (result: AnswerResult): string {
  return `${result.outcome} ${result.reason}`
}

describe('Caller with instances', () => {
  it('reads a complete generation', async () => {
    expect(await doTest(fleet.caller.generate({ service: 'draft', prompt: 'p' }))).toMatchInlineSnapshot('"120 of 120 tokens in order from 1 generation, complete finished"')
  })

  it('reads the reply of a call', async () => {
    const result = await fleet.caller.call({ service: 'gate', body: { gate: 1 } }).wait()
    expect(result).toMatchObject({ outcome: 'complete', reply: { status: 200 } })
    expect([...fleet.platform.deployment.plainServices.values()].flatMap(service => service.listCalls())).toHaveLength(1)
  })

  it('reads a complete generation when its owner stops mid-stream', async () => {
    const answer = fleet.caller.generate({ service: 'draft', prompt: 'p' })
    expect(await doTest(answer, request => { fleet.findOwner(request).stop() })).toMatchInlineSnapshot('"120 of 120 tokens in order from 1 generation, complete finished"')
  })

  it('reads a complete generation when its owner drains mid-stream', async () => {
    const answer = fleet.caller.generate({ service: 'draft', prompt: 'p' })
    let drained: Promise<void> | undefined
    expect(await doTest(answer, request => { drained = fleet.findOwner(request).drain() })).toMatchInlineSnapshot('"120 of 120 tokens in order from 1 generation, complete finished"')
    await drained
  })

  it('reads a complete generation when its connections stall permanently', async () => {
    const answer = fleet.caller.generate({ service: 'draft', prompt: 'p' })
    expect(await doTest(answer, () => fleet.proxy.stallConnections())).toMatchInlineSnapshot('"120 of 120 tokens in order from 1 generation, complete finished"')
  })

  it('runs each call once when connections stall permanently between calls', async () => {
    const outcomes: string[] = []
    for (let gate = 0; gate < 3; gate++) {
      outcomes.push(describeOutcome(await fleet.caller.call({ service: 'gate', body: { gate } }).wait()))
      fleet.proxy.stallConnections()
    }
    const calls = [...fleet.platform.deployment.plainServices.values()].flatMap(service => service.listCalls())
    expect([...outcomes, `${calls.length} calls ran`]).toMatchInlineSnapshot(`
      [
        "complete finished",
        "complete finished",
        "complete finished",
        "3 calls ran",
      ]
    `)
  })

  it('fails a generation whose engine is killed after tokens were delivered', async () => {
    const answer = fleet.caller.generate({ service: 'draft', prompt: 'p' })
    const printed = await doTest(answer, () => { for (const engine of fleet.platform.engines.values()) engine.kill() })
    expect(printed).toMatch(/^\d+ of 120 tokens in order from 1 generation, failed targetLost$/)
  })

  it('cancels a generation at its engine', async () => {
    const answer = fleet.caller.generate({ service: 'draft', prompt: 'p' })
    expect(await doTest(answer, () => answer.cancel())).toMatch(/^\d+ of 120 tokens in order from 1 generation, cancelled cancelledByCaller$/)
  })

  it('does not run a request for a service that is not configured for the workspace', async () => {
    expect(await doTest(fleet.caller.generate({ service: 'none', prompt: 'p' }))).toMatchInlineSnapshot('"0 of 120 tokens in order from 0 generation, notRun notConfigured"')
  })
})
