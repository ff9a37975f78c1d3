import { totalmem } from 'node:os'
import { describe, expect, it } from 'vitest'
import { BUFFER_MEMORY_SHARE, type BufferAccount, BufferBudget, type EndedBuffer } from '../../src/memory/BufferBudget.js'

function createBudget (maxBytes: number): { readonly open: (name: string) => ReturnType<BufferBudget['openAccount']>, readonly budget: BufferBudget, readonly ended: string[] } {
  const budget = BufferBudget.create({ maxBytes })
  const ended: string[] = []
  return { budget, ended, open: name => budget.openAccount({ kind: 'targetAnswer', peer: name, end: () => { ended.push(name) } }) }
}

describe('BufferBudget', () => {
  it('ends nothing while all accounts together are within the budget', () => {
    const { budget, ended, open } = createBudget(100)
    open('a').setBytes(60)
    open('b').setBytes(40)
    expect({ ended, usedBytes: budget.getUsedBytes() }).toEqual({ ended: [], usedBytes: 100 })
  })

  it('ends the account that holds most, whichever one exceeds the budget', () => {
    const { budget, ended, open } = createBudget(100)
    open('large').setBytes(70)
    open('small').setBytes(31)
    expect({ ended, usedBytes: budget.getUsedBytes() }).toEqual({ ended: ['large'], usedBytes: 31 })
  })

  it('ends an account that alone exceeds the budget', () => {
    const { budget, ended, open } = createBudget(100)
    open('a').setBytes(101)
    expect({ ended, usedBytes: budget.getUsedBytes() }).toEqual({ ended: ['a'], usedBytes: 0 })
  })

  it('counts the bytes that an account holds now, and none once it is closed', () => {
    const { budget, ended, open } = createBudget(100)
    const account = open('a')
    account.setBytes(90)
    account.setBytes(20)
    open('b').setBytes(80)
    account.close()
    open('c').setBytes(20)
    expect({ ended, usedBytes: budget.getUsedBytes() }).toEqual({ ended: [], usedBytes: 100 })
  })

  it('ends an account once, and counts nothing of it afterwards', () => {
    const { budget, ended, open } = createBudget(100)
    const account = open('a')
    account.setBytes(101)
    account.setBytes(200)
    account.close()
    expect({ ended, usedBytes: budget.getUsedBytes() }).toEqual({ ended: ['a'], usedBytes: 0 })
  })

  it('tells whose bytes it ended, before they are', () => {
    const events: unknown[] = []
    const budget = BufferBudget.create({ maxBytes: 100, handleEnd: ended => events.push(ended) })
    budget.openAccount({ kind: 'targetAnswer', request: 'r1', peer: 'i-1', end: () => events.push('end') }).setBytes(101)
    expect(events).toEqual([{ kind: 'targetAnswer', request: 'r1', peer: 'i-1', bytes: 101 }, 'end'])
  })

  it('is a share of the memory of the machine by default', () => {
    const ended: EndedBuffer[] = []
    const account = BufferBudget.create({ handleEnd: value => ended.push(value) }).openAccount({ kind: 'storeAnswer', end: () => undefined })
    account.setBytes(Math.floor(totalmem() * BUFFER_MEMORY_SHARE))
    expect(ended).toHaveLength(0)
    account.setBytes(totalmem())
    expect(ended).toHaveLength(1)
  })

  it('ends what holds bytes for long rather than a body that is just arriving, though it holds fewer', () => {
    let nowMs = 0
    const ended: string[] = []
    const budget = BufferBudget.create({ maxBytes: 100, nowMs: () => nowMs })
    const open = (name: string): BufferAccount => budget.openAccount({ kind: 'callerRequest', end: () => { ended.push(name) } })
    const emptied = open('emptied')
    emptied.setBytes(20)
    emptied.setBytes(0)
    open('small').setBytes(1)
    open('slow').setBytes(30)
    nowMs = 3000
    emptied.setBytes(20)
    open('new').setBytes(60)
    expect({ ended, usedBytes: budget.getUsedBytes() }).toEqual({ ended: ['slow'], usedBytes: 81 })
  })

  it('spares what is in use while the others hold comparably much', () => {
    const { ended, open } = createBudget(100)
    const used = open('used')
    used.markInUse()
    used.setBytes(70)
    open('small').setBytes(10)
    open('large').setBytes(21)
    expect(ended).toEqual(['large'])
  })

  it('ends what is in use when the others hold little', () => {
    const { ended, open } = createBudget(100)
    const used = open('used')
    used.setBytes(98)
    used.markInUse()
    open('a').setBytes(1)
    open('b').setBytes(2)
    expect(ended).toEqual(['used'])
  })

  it('is bounded while many senders without end go on', () => {
    const { budget, ended, open } = createBudget(1000)
    const accounts = Array.from({ length: 50 }, (_, index) => open(String(index)))
    for (let bytes = 10; bytes <= 500; bytes += 10) {
      for (const account of accounts) {
        account.setBytes(bytes)
        expect(budget.getUsedBytes()).toBeLessThanOrEqual(1000)
      }
    }
    expect(ended.length).toBeGreaterThan(0)
  })
})
