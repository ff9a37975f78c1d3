import { type Logger } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RefusalLog } from '../../src/network/RefusalLog.js'

/** Lets a log act and returns the lines that it wrote. */
function doTest (act: (log: RefusalLog) => void): string[] {
  const lines: string[] = []
  const logger = { warn: ({ peer, fault }: { peer: string, fault: string }) => lines.push(`${peer} ${fault}`) }
  act(RefusalLog.create(logger as unknown as Logger))
  return lines
}

describe('RefusalLog', () => {
  it('writes one line for the same fault', () => {
    expect(doTest(log => {
      log.recordRefusal('a', 'wrongKey')
      log.recordRefusal('a', 'wrongKey')
    })).toEqual(['a wrongKey'])
  })

  it('writes a line when the fault changes', () => {
    expect(doTest(log => {
      log.recordRefusal('a', 'wrongKey')
      log.recordRefusal('a', 'wrongFleet')
    })).toEqual(['a wrongKey', 'a wrongFleet'])
  })

  it('writes a line again after a connection was accepted', () => {
    expect(doTest(log => {
      log.recordRefusal('a', 'wrongKey')
      log.recordAcceptance('a')
      log.recordRefusal('a', 'wrongKey')
    })).toEqual(['a wrongKey', 'a wrongKey'])
  })
})
