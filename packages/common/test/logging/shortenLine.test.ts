import { describe, expect, it } from 'vitest'
import { shortenLine } from '../../src/logging/shortenLine.js'

const MAX_BYTES = 4096

/** Shortens a line with some fields, and describes the result: its size, and the length of each field. */
function doTest (fields: object): unknown {
  const line = shortenLine(`${JSON.stringify({ level: 30, instance: 'i', ...fields, msg: 'm' })}\n`, MAX_BYTES)
  const lengths = Object.entries(JSON.parse(line) as object).map(([name, value]) => `${name.slice(0, 8)} ${JSON.stringify(value).length}`)
  return { isInBound: Buffer.byteLength(line) <= MAX_BYTES, isOneLine: line.indexOf('\n') === line.length - 1, fields: lengths.slice(0, 16).join() }
}

/** Guards against lines that a pipe takes only in part, so that the end of the process cuts them. */
describe(shortenLine.name, () => {
  it('keeps a line that fits', () => expect(doTest({ a: 'x'.repeat(3000) })).toMatchInlineSnapshot(`
    {
      "fields": "level 2,instance 3,a 3002,msg 3",
      "isInBound": true,
      "isOneLine": true,
    }
  `))
  it('cuts long texts and lists', () => expect(doTest({ a: 'x'.repeat(9000), b: Array.from({ length: 3000 }, (_, index) => index) })).toMatchInlineSnapshot(`
    {
      "fields": "level 2,instance 3,a 802,b 802,isShorte 4,msg 3",
      "isInBound": true,
      "isOneLine": true,
    }
  `))
  it('cuts texts further where many are long', () => expect(doTest(Object.fromEntries(Array.from({ length: 12 }, (_, index) => [`f${index}`, 'ü'.repeat(9000)])))).toMatchInlineSnapshot(`
    {
      "fields": "level 2,instance 3,f0 102,f1 102,f2 102,f3 102,f4 102,f5 102,f6 102,f7 102,f8 102,f9 102,f10 102,f11 102,isShorte 4,msg 3",
      "isInBound": true,
      "isOneLine": true,
    }
  `))
  it('leaves out fields where there are too many', () => expect(doTest(Object.fromEntries(Array.from({ length: 1000 }, (_, index) => [`f${index}`, 'ü'.repeat(100)])))).toMatchInlineSnapshot(`
    {
      "fields": "level 2,instance 3,f0 102,f1 102,f2 102,f3 102,f4 102,f5 102,f6 102,f7 102,f8 102,f9 102,isShorte 4,msg 3",
      "isInBound": true,
      "isOneLine": true,
    }
  `))
})
