import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { InstanceListView, TargetStateTracker } from '@fescuespoke/configuration'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { targetsModel, type TargetsState } from '../../src/index.js'
import { createWalk } from '../support/createWalk.js'

const TICK_MS = 1000
const TARGET = 't'
const WALK_COUNT = 200
const MAX_STEPS = 40

/** Drives the product's target state tracker for one target through the steps of a trace. */
class TargetStateDriver {
  readonly clock = VirtualClock.create()
  private readonly audit = AuditTrail.create({ instance: 'i', incarnation: '1', capacity: 10 })
  private readonly list = InstanceListView.create({ clock: this.clock, audit: this.audit })
  private readonly targetStates = TargetStateTracker.create({
    clock: this.clock,
    audit: this.audit,
    list: this.list,
    listRefresher: { refresh: async () => {}, getLastRefreshAgeMs: () => Infinity },
    reader: { fetchState: async () => Result.err('unreachable') },
    defaultMaxAgeMs: TICK_MS
  })

  receiveList (isLeaving: boolean, sentAtMs: number): void {
    const state = isLeaving ? 'leaving' as const : 'live' as const
    const entries = [{ id: TARGET, role: 'target' as const, state }, { id: 'i', role: 'entry' as const, state: 'live' as const }]
    this.list.update({ version: isLeaving ? 2 : 1, entries }, 'platform', sentAtMs)
  }

  receiveReport (isLeaving: boolean, sentAtMs: number): void {
    this.targetStates.recordReport(TARGET, isLeaving ? 'leaving' : 'active', sentAtMs)
  }

  describe (): string {
    return `${this.targetStates.getState(TARGET)} ${this.targetStates.canReceiveWork(TARGET) ? 'open' : 'closed'}`
  }
}

/** A query of a trace, with the state in its answer. */
interface Query {
  readonly source: string
  readonly state: string
  readonly sentAtMs: number
}

/** Value at which ages stop increasing in the model. */
const MAX_AGE_TICKS = 2

async function executeStep (driver: TargetStateDriver, name: string, queries: Query[], before: TargetsState): Promise<void> {
  const [action = '', source = '', state = '', ageTicks = ''] = name.split(' ')
  const nowMs = driver.clock.nowMs()
  if (action === 'tick') await driver.clock.advance(TICK_MS)
  if (action === 'query') queries.unshift({ source, state: getReportedState(source, before), sentAtMs: nowMs })
  if (action !== 'receive') return
  const query = queries.find(other => {
    const isSame = other.source === source && other.state === state
    return isSame && Math.min(MAX_AGE_TICKS, (nowMs - other.sentAtMs) / TICK_MS) === Number(ageTicks)
  }) as Query
  if (source === 'list') driver.receiveList(state === 'leaving', query.sentAtMs)
  else driver.receiveReport(state === 'leaving', query.sentAtMs)
}

/** Returns the state that a source reports. The list lags one tick behind the target itself. */
function getReportedState (source: string, { leavingTicks }: TargetsState): string {
  return leavingTicks > (source === 'list' ? 1 : 0) ? 'leaving' : 'active'
}

function describeTarget (state: TargetsState): string {
  const steps = targetsModel.listSteps({ ...state, isPlaced: false }, new Set(targetsModel.guards))
  const states = [state.list.state, state.report.state]
  const mergedState = ['leaving', 'active', 'unknown'].find(name => states.some(other => other === name)) as string
  return `${mergedState} ${steps.some(({ name }) => name === 'place') ? 'open' : 'closed'}`
}

describe('TargetStateTracker', () => {
  it('matches the model for the state of a target and whether it may receive work', async () => {
    const countByDescription = new Map<string, number>()
    for (let seed = 1; seed <= WALK_COUNT; seed++) {
      const { stepNames, states } = createWalk({ model: targetsModel, initial: targetsModel.listInitialStates()[0] as TargetsState, seed, maxSteps: MAX_STEPS })
      const driver = new TargetStateDriver()
      const queries: Query[] = []
      for (const [index, name] of stepNames.entries()) {
        await executeStep(driver, name, queries, states[index] as TargetsState)
        const expected = describeTarget(states[index + 1] as TargetsState)
        countByDescription.set(expected, (countByDescription.get(expected) ?? 0) + 1)
        expect([seed, index, name, driver.describe()]).toEqual([seed, index, name, expected])
      }
    }
    expect([...countByDescription.keys()].sort()).toEqual(['active closed', 'active open', 'leaving closed', 'unknown closed'])
    expect(Math.min(...countByDescription.values())).toBeGreaterThan(100)
  })
})
