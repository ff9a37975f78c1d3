import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { readJsonLines } from '../../src/index.js'

async function * splitBytes (bytes: Buffer, size: number): AsyncGenerator<Buffer> {
  for (let start = 0; start < bytes.length; start += size) yield bytes.subarray(start, start + size)
}

async function doTest (text: string, chunkSize: number, maxLineCharacters = 100): Promise<unknown[]> {
  const values: unknown[] = []
  try {
    for await (const value of readJsonLines(splitBytes(Buffer.from(text), chunkSize), maxLineCharacters)) values.push(value)
  } catch (error) {
    values.push(String(error))
  }
  return values
}

describe('readJsonLines', () => {
  it('reads lines that are split across chunks, even within a character', async () => {
    expect(await doTest('{"a":"è"}\n\n[1]\n', 3)).toEqual([{ a: 'è' }, [1]])
  })

  it('drops a truncated last line', async () => {
    expect(await doTest('1\n{"a"', 100)).toEqual([1])
  })

  it('rejects a line that is too long before its end', async () => {
    expect(await doTest('"' + 'x'.repeat(200), 10)).toMatchInlineSnapshot(`
      [
        "Error: line exceeds 100 characters",
      ]
    `)
  })

  it('rejects a line that is not valid JSON', async () => {
    expect(await doTest('nope\n', 10)).toMatchInlineSnapshot(`
      [
        "Error: line is not valid JSON: nope",
      ]
    `)
  })

  it('returns the written values for any chunk size', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.json({ maxDepth: 2 })), fc.integer({ min: 1, max: 40 }), async (lines, size) => {
      const text = lines.map(line => `${line}\n`).join('')
      expect(await doTest(text, size, 10_000)).toEqual(lines.map(line => JSON.parse(line)))
    }), { seed: 1, numRuns: 100 })
  })
})
