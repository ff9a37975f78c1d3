import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AccountedBuffer } from '../../src/memory/AccountedBuffer.js'
import { BUFFER_OVERHEAD_BYTES, BufferBudget } from '../../src/memory/BufferBudget.js'

function createBuffer (maxBytes = 1_000_000_000): { readonly budget: BufferBudget, readonly buffer: AccountedBuffer, readonly drops: string[] } {
  const budget = BufferBudget.create({ maxBytes })
  const drops: string[] = []
  return { budget, drops, buffer: AccountedBuffer.create({ bufferBudget: budget, owner: { kind: 'targetAnswer' }, handleDrop: () => { drops.push('dropped') } }) }
}

describe('AccountedBuffer', () => {
  it('returns what was added, in whichever parts it is added and taken', () => {
    const step = fc.oneof(fc.uint8Array({ maxLength: 3000 }), fc.constant('takeChunk' as const), fc.constant('takeBytes' as const))
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const { buffer, budget } = createBuffer()
      const added: Buffer[] = []
      const taken: Buffer[] = []
      for (const value of [...steps, 'takeBytes' as const]) {
        if (value === 'takeChunk') taken.push(Buffer.from(buffer.takeChunk() ?? []))
        else if (value === 'takeBytes') taken.push(Buffer.from(buffer.takeBytes()))
        else {
          added.push(Buffer.from(value))
          buffer.addBytes(Buffer.from(value))
        }
      }
      expect(Buffer.concat(taken).equals(Buffer.concat(added))).toBe(true)
      expect([buffer.getByteCount(), budget.getUsedBytes()]).toEqual([0, 0])
    }))
  })

  it('uses little more memory than there are bytes when these come one by one', () => {
    const { buffer, budget } = createBuffer()
    const arrived = Buffer.alloc(100_000, 'a')
    for (let index = 0; index < arrived.length; index++) buffer.addBytes(arrived.subarray(index, index + 1))
    expect(budget.getUsedBytes()).toBeLessThan(1.1 * arrived.length)
    expect(buffer.takeBytes().equals(arrived)).toBe(true)
  })

  it('drops all when the budget is exceeded, and keeps nothing that comes later', () => {
    const { buffer, budget, drops } = createBuffer(1000)
    buffer.addBytes(Buffer.alloc(1001))
    buffer.addBytes(Buffer.alloc(10))
    expect([drops, buffer.isDropped(), buffer.getByteCount(), buffer.takeChunk(), budget.getUsedBytes()]).toEqual([['dropped'], true, 0, undefined, 0])
  })

  it('can still be read when it is accounted no longer', () => {
    const { buffer, budget } = createBuffer()
    buffer.addBytes(Buffer.from('a'))
    buffer.closeAccount()
    expect([budget.getUsedBytes(), buffer.takeBytes().toString()]).toEqual([0, 'a'])
  })

  it.each([1, 7, 1023, 1024, 70_000])('returns a whole that stays accounted until it is released, in parts of %i bytes', partBytes => {
    const { buffer, budget } = createBuffer()
    const added = Buffer.from(Array.from({ length: 300_000 }, (_, index) => index % 251))
    for (let start = 0; start < added.length; start += partBytes) buffer.addBytes(added.subarray(start, start + partBytes))
    const isWhole = buffer.getBytes().equals(added)
    const usedBytes = budget.getUsedBytes()
    buffer.release()
    expect([isWhole, usedBytes, budget.getUsedBytes()]).toEqual([true, added.length + BUFFER_OVERHEAD_BYTES, 0])
  })

  it('returns nothing as a whole when it is empty', () => {
    const { buffer, budget } = createBuffer()
    expect([buffer.getBytes().length, budget.getUsedBytes()]).toEqual([0, 0])
  })

  it('is spared while in use', () => {
    const { buffer, budget, drops } = createBuffer(1000)
    buffer.addBytes(Buffer.alloc(500))
    buffer.markInUse()
    const other = AccountedBuffer.create({ bufferBudget: budget, owner: { kind: 'targetAnswer' }, handleDrop: () => { drops.push('other') } })
    other.addBytes(Buffer.alloc(300))
    expect(drops).toEqual(['other'])
  })
})
