import { EventEmitter } from 'node:events'
import { describe, expect, it } from 'vitest'
import { ProcessSignals } from '../../src/signals/ProcessSignals.js'

/** Sends signals, and returns which handlers were called. */
function doTest (signals: readonly string[]): string {
  const source = new EventEmitter()
  const calls: string[] = []
  ProcessSignals.create({ source: source as NodeJS.Process, stop: () => calls.push('stop'), reload: () => calls.push('reload'), ignore: signal => calls.push(`ignore ${signal}`) })
  for (const signal of signals) if (!source.emit(signal)) calls.push(`${signal} ends the process`)
  return calls.join()
}

/** Guards against LOST: the handler of a signal to stop was called once and then removed, so that the next signal ended the process. */
describe('the signals of a process', () => {
  it('stop it once, whichever comes first', () => expect(doTest(['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGTERM'])).toMatchInlineSnapshot('"stop,ignore SIGINT,ignore SIGTERM,ignore SIGTERM"'))
  it('reload its settings each time, also during a stop', () => expect(doTest(['SIGHUP', 'SIGHUP', 'SIGINT', 'SIGHUP'])).toMatchInlineSnapshot('"reload,reload,stop,reload"'))
})
