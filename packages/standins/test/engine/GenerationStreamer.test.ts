import { EventEmitter } from 'node:events'
import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { GenerationStreamer } from '../../src/engine/GenerationStreamer.js'
import { ConnectionGate } from '../../src/http/ConnectionGate.js'
import { type Exchange } from '../../src/http/FaultInjectingHttpServer.js'
import { createSpec, createTestEngine } from './support.js'

class FakeResponse extends EventEmitter {
  readonly lines: string[] = []
  destroyed = false
  canWriteMore = true

  writeHead (): void {}
  flushHeaders (): void {}
  end (): void { this.lines.push('closed') }
  destroy (): void { this.destroyed = true }

  write (line: string): boolean {
    const event = JSON.parse(line) as { type: string, offset?: number, tokens: unknown[] }
    this.lines.push(event.type === 'tokens' ? `${event.offset}+${event.tokens.length}` : event.type)
    return this.canWriteMore
  }
}

describe('GenerationStreamer', () => {
  function startStreamer (tokens: number): { clock: VirtualClock, response: FakeResponse, gate: ConnectionGate } {
    const clock = VirtualClock.create()
    const core = createTestEngine(clock, { computeOutputTokens: () => tokens, stepBaseMs: 10, stepSequenceMs: 0, prefillTokenMs: 0 })
    const response = new FakeResponse()
    const gate = ConnectionGate.create()
    core.startGeneration('g', createSpec())
    GenerationStreamer.create({ core, exchange: { response, gate } as unknown as Exchange, id: 'g', offset: 0 })
    return { clock, response, gate }
  }

  it('writes nothing while the client does not read, and catches up afterwards', async () => {
    const { clock, response } = startStreamer(10)
    response.canWriteMore = false
    await clock.advance(80)
    expect(response.lines).toEqual(['0+1'])
    response.canWriteMore = true
    response.emit('drain')
    await clock.advance(1000)
    expect(response.lines).toMatchInlineSnapshot(`
      [
        "0+1",
        "1+7",
        "8+1",
        "9+1",
        "end",
        "closed",
      ]
    `)
  })

  it('writes nothing while its connection is stalled, and catches up afterwards', async () => {
    const { clock, response, gate } = startStreamer(10)
    await clock.advance(30)
    gate.setState('stalled')
    await clock.advance(50)
    gate.setState('open')
    await clock.advance(1000)
    expect(response.lines).toMatchInlineSnapshot(`
      [
        "0+1",
        "1+1",
        "2+1",
        "3+5",
        "8+1",
        "9+1",
        "end",
        "closed",
      ]
    `)
  })

  it('writes nothing after its connection is frozen', async () => {
    const { clock, response, gate } = startStreamer(10)
    await clock.advance(20)
    gate.setState('frozen')
    gate.setState('open')
    await clock.advance(1000)
    expect(response.lines).toMatchInlineSnapshot(`
      [
        "0+1",
        "1+1",
      ]
    `)
  })

  it('stops when the client disconnects', async () => {
    const { clock, response } = startStreamer(10)
    await clock.advance(20)
    response.emit('close')
    await clock.advance(1000)
    expect(response.lines).toMatchInlineSnapshot(`
      [
        "0+1",
        "1+1",
      ]
    `)
  })
})
