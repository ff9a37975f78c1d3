import { describe, expect, it } from 'vitest'
import { LogWriter } from '../../src/logging/LogWriter.js'
import { type LogWriteResult } from '../../src/logging/StandardOutput.js'

/** Writes lines to an output that answers with the given results in turn, and then takes all; returns what it got and the number of dropped lines. */
function doTest (results: readonly LogWriteResult[], lines: readonly string[]): { readonly written: string[], readonly dropped: number } {
  const remaining = [...results]
  const written: string[] = []
  let dropped = 0
  const write = (bytes: Uint8Array): LogWriteResult => {
    const result = remaining.shift() ?? bytes.length
    if (typeof result === 'number') written.push(Buffer.from(bytes.subarray(0, result)).toString())
    return result
  }
  const writer = LogWriter.create({ output: { write }, onDrop: () => { dropped++ } })
  for (const line of lines) writer.write(line)
  writer.finish()
  return { written, dropped }
}

describe('LogWriter', () => {
  it('goes on with the rest of a line that the output took in part', () => {
    expect(doTest([3], ['first\n', 'next\n'])).toEqual({ written: ['fir', 'st\n', 'next\n'], dropped: 0 })
  })

  it('drops the rest of a line when the output fails, and writes the next line', () => {
    expect(doTest([3, 'failed'], ['first\n', 'next\n'])).toEqual({ written: ['fir', 'next\n'], dropped: 1 })
  })
})
