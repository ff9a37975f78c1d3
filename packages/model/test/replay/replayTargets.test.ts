import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { InstanceListView, TargetStateTracker } from '@fescuespoke/configuration'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { targetsModel, type TargetsState } from '../../src/index.js'
import { createWalk } from '../support/createWalk.js'

const TICK_MS = 1000
const TARGET = 't'
const WALKS = 200
const STEPS = 40

/** The code's evidence of one target under the steps of a trace. */
class RealEvidence {
  readonly clock = VirtualClock.create()
  private readonly audit = AuditTrail.create({ instance: 'i', incarnation: '1', capacity: 10 })
  private readonly list = InstanceListView.create({ clock: this.clock, audit: this.audit })
  private readonly evidence = TargetStateTracker.create({
    clock: this.clock,
    audit: this.audit,
    list: this.list,
    listRefresher: { refresh: async () => {}, getLastRefreshAgeMs: () => Infinity },
    reader: { fetchState: async () => Result.err('unreachable') },
    evidenceMs: TICK_MS
  })

  receiveList (isLeaving: boolean, sentAtMs: number): void {
    const state = isLeaving ? 'leaving' as const : 'live' as const
    const entries = [{ id: TARGET, role: 'target' as const, state }, { id: 'i', role: 'entry' as const, state: 'live' as const }]
    this.list.update({ version: isLeaving ? 2 : 1, entries }, 'platform', sentAtMs)
  }

  receiveReport (isLeaving: boolean, sentAtMs: number): void {
    this.evidence.recordReport(TARGET, isLeaving ? 'leaving' : 'active', sentAtMs)
  }

  describe (): string {
    return `${this.evidence.getState(TARGET)} ${this.evidence.canReceiveWork(TARGET) ? 'open' : 'closed'}`
  }
}

/** A question of a trace, with what its answer says. */
interface Question {
  readonly source: string
  readonly state: string
  readonly sentAtMs: number
}

/** Age from which on the model does not count ticks. */
const OLD_TICKS = 2

async function takeStep (real: RealEvidence, name: string, questions: Question[], before: TargetsState): Promise<void> {
  const [action = '', source = '', state = '', ageTicks = ''] = name.split(' ')
  const nowMs = real.clock.nowMs()
  if (action === 'tick') await real.clock.advance(TICK_MS)
  if (action === 'ask') questions.unshift({ source, state: describeAnswer(source, before), sentAtMs: nowMs })
  if (action !== 'receive') return
  const question = questions.find(other => {
    const isSame = other.source === source && other.state === state
    return isSame && Math.min(OLD_TICKS, (nowMs - other.sentAtMs) / TICK_MS) === Number(ageTicks)
  }) as Question
  if (source === 'list') real.receiveList(state === 'leaving', question.sentAtMs)
  else real.receiveReport(state === 'leaving', question.sentAtMs)
}

/** The list says a tick later than the target itself that it leaves. */
function describeAnswer (source: string, { leavingTicks }: TargetsState): string {
  return leavingTicks > (source === 'list' ? 1 : 0) ? 'leaving' : 'active'
}

function describeTarget (state: TargetsState): string {
  const steps = targetsModel.listSteps({ ...state, isPlaced: false }, new Set(targetsModel.guards))
  const states = [state.list.state, state.report.state]
  const known = ['leaving', 'active', 'unknown'].find(name => states.some(other => other === name)) as string
  return `${known} ${steps.some(({ name }) => name === 'place') ? 'open' : 'closed'}`
}

describe('the evidence of a target', () => {
  it('opens and closes it as the model does', async () => {
    const seen = new Map<string, number>()
    for (let seed = 1; seed <= WALKS; seed++) {
      const { names, states } = createWalk({ model: targetsModel, initial: targetsModel.listInitial()[0] as TargetsState, seed, length: STEPS })
      const real = new RealEvidence()
      const questions: Question[] = []
      for (const [index, name] of names.entries()) {
        await takeStep(real, name, questions, states[index] as TargetsState)
        const expected = describeTarget(states[index + 1] as TargetsState)
        seen.set(expected, (seen.get(expected) ?? 0) + 1)
        expect([seed, index, name, real.describe()]).toEqual([seed, index, name, expected])
      }
    }
    expect([...seen.keys()].sort()).toEqual(['active closed', 'active open', 'leaving closed', 'unknown closed'])
    expect(Math.min(...seen.values())).toBeGreaterThan(100)
  })
})
