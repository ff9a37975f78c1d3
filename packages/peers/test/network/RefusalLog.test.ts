import { type Logger } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RefusalLog } from '../../src/network/RefusalLog.js'

/** Runs actions on a log and returns the lines that it wrote. */
function doTest (act: (log: RefusalLog) => void): string[] {
  const lines: string[] = []
  const logger = { warn: ({ peer, fault }: { peer: string, fault: string }) => lines.push(`${peer} ${fault}`) }
  act(RefusalLog.create(logger as unknown as Logger))
  return lines
}

describe('RefusalLog', () => {
  it('logs the same fault once', () => {
    expect(doTest(log => {
      log.recordRefusal('a', 'wrongKey')
      log.recordRefusal('a', 'wrongKey')
    })).toEqual(['a wrongKey'])
  })

  it('logs again when the fault changes', () => {
    expect(doTest(log => {
      log.recordRefusal('a', 'wrongKey')
      log.recordRefusal('a', 'wrongFleet')
    })).toEqual(['a wrongKey', 'a wrongFleet'])
  })

  it('logs again after a connection was accepted', () => {
    expect(doTest(log => {
      log.recordRefusal('a', 'wrongKey')
      log.recordAcceptance('a')
      log.recordRefusal('a', 'wrongKey')
    })).toEqual(['a wrongKey', 'a wrongKey'])
  })
})
