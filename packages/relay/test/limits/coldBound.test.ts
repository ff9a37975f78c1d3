import { createLogger, type Random, SeededRandom, VirtualClock } from '@fescuespoke/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { InstanceCensus } from '../../src/instance/InstanceCensus.js'
import { ColdTargets, DEFAULT_COLD_BOUND } from '../../src/limits/ColdTargets.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { createTarget } from '../support/createTestDependencies.js'

/** What happens to a fleet that shares a cold target. */
interface Plan {
  readonly seed: number
  readonly instances: number
  readonly perSecond: number
  /** Share of the instances on the first side of a split; the split begins at a clock reading, in milliseconds, and does not end. */
  readonly splitShare: number
  readonly splitAtMs: number
  /** Instances that restart, and that join, each with its clock reading in milliseconds. */
  readonly restarts: ReadonlyArray<{ readonly index: number, readonly atMs: number }>
  readonly joinsAtMs: readonly number[]
}

interface Instance {
  readonly name: string
  readonly side: 0 | 1
  census: InstanceCensus
  cold: ColdTargets
}

const DURATION_MS = 16_000
const STEP_MS = 20

/** Maximum time until an instance learns that another one started or was lost, and until it reads an entry, in milliseconds. */
const MAX_JOIN_MS = 2500
const MAX_LOSS_MS = 4000
const MAX_ENTRY_MS = 2500

/** Maximum time between a turn and its request, which waits for a connection, and window in which requests are counted, in milliseconds. */
const MAX_SENDING_MS = 400
const WINDOW_MS = 1000

const TARGET = createTarget('t', { sequence: 1, slowStartRemainingMs: 60_000 })

/** Fleet whose instances send to a cold target whenever they may. They learn of one another, and that it is cold, at different times. */
class ColdFleetPlay {
  readonly sentAtMs: number[] = []
  private readonly clock = VirtualClock.create()
  private readonly random: Random
  private readonly log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock: this.clock })
  private readonly instances: Instance[] = []

  constructor (private readonly plan: Plan) {
    this.random = SeededRandom.create(plan.seed)
  }

  run (): number {
    const { instances, splitShare, splitAtMs, restarts, joinsAtMs } = this.plan
    for (let index = 0; index < instances; index++) this.start(`i${index}`, index < instances * splitShare ? 0 : 1)
    this.at(splitAtMs, () => this.split())
    for (const { index, atMs } of restarts) this.at(atMs, () => this.restart(this.instances[index % instances]!))
    // One side of a split does not learn of instances that join the other side.
    const joins = joinsAtMs.filter(atMs => atMs + MAX_JOIN_MS < splitAtMs)
    for (const [index, atMs] of joins.entries()) this.at(atMs, () => this.start(`j${index}`, index % 2 as 0 | 1))
    for (let atMs = 0; atMs < DURATION_MS; atMs += STEP_MS) {
      this.runEvents(atMs)
      this.clock.jump(STEP_MS)
      for (const instance of this.instances) this.send(instance)
    }
    return this.countMostInWindow()
  }

  private readonly events = new Map<number, Array<() => void>>()

  private at (atMs: number, act: () => void): void {
    const step = Math.ceil(atMs / STEP_MS) * STEP_MS
    this.events.set(step, [...this.events.get(step) ?? [], act])
  }

  private after (maxMs: number, act: () => void): void {
    this.at(this.clock.nowMs() + this.random.nextFloat() * (maxMs - STEP_MS), act)
  }

  private runEvents (atMs: number): void {
    for (const act of this.events.get(atMs) ?? []) act()
  }

  private start (name: string, side: 0 | 1): void {
    const instance: Instance = { name, side, ...this.createState(name) }
    for (const other of this.instances) if (this.canReach(instance, other)) this.introduce(instance, other)
    this.instances.push(instance)
    this.after(MAX_ENTRY_MS, () => instance.cold.recordEntry(TARGET))
  }

  private createState (name: string): Pick<Instance, 'census' | 'cold'> {
    const census = InstanceCensus.create({ clock: this.clock, instance: name, listSeeds: () => name === 'i0' ? [] : ['i0'] })
    const cold = ColdTargets.create({ clock: this.clock, log: this.log, getFleet: target => census.getFleet(target) })
    cold.setServices(new Map([['calls', { name: 'calls', coldRequestsPerSecond: this.plan.perSecond }]]))
    return { census, cold }
  }

  private introduce (a: Instance, b: Instance): void {
    this.after(MAX_JOIN_MS, () => a.census.recordInstance(b.name, 'present'))
    this.after(MAX_JOIN_MS, () => b.census.recordInstance(a.name, 'present'))
  }

  private restart (instance: Instance): void {
    Object.assign(instance, this.createState(instance.name))
    for (const other of this.instances) {
      if (other === instance || !this.canReach(instance, other)) continue
      this.after(MAX_JOIN_MS, () => instance.census.recordInstance(other.name, 'present'))
      for (let atMs = this.clock.nowMs(); atMs < DURATION_MS; atMs += 2000) this.at(atMs, () => instance.census.recordReport(other.census.findReport() ?? 0))
    }
    this.after(MAX_ENTRY_MS, () => instance.cold.recordEntry(TARGET))
  }

  private split (): void {
    for (const instance of this.instances) for (const other of this.instances) if (instance.side !== other.side) this.after(MAX_LOSS_MS, () => instance.census.recordInstance(other.name, 'lost'))
  }

  private canReach (a: Instance, b: Instance): boolean {
    return a.side === b.side || this.clock.nowMs() < this.plan.splitAtMs
  }

  private send ({ cold }: Instance): void {
    // Until an instance has read the entry, it does not know the target and sends nothing.
    if (!cold.isCold(TARGET) || cold.getWaitMs(TARGET) > 0) return
    cold.recordRequest(TARGET)
    this.sentAtMs.push(this.clock.nowMs() + this.random.nextFloat() * MAX_SENDING_MS)
  }

  private countMostInWindow (): number {
    const times = [...this.sentAtMs].sort((a, b) => a - b)
    let most = 0
    let first = 0
    for (const [index, atMs] of times.entries()) {
      while (times[first]! <= atMs - WINDOW_MS) first++
      most = Math.max(most, index - first + 1)
    }
    return most
  }
}

function doTest (plan: Plan): { most: number, sent: number, allowed: number } {
  const play = new ColdFleetPlay(plan)
  const most = play.run()
  return { most, sent: play.sentAtMs.length, allowed: plan.perSecond * DEFAULT_COLD_BOUND.overage + DEFAULT_COLD_BOUND.slack }
}

const CALM: Plan = { seed: 1, instances: 58, perSecond: 31, splitShare: 0.5, splitAtMs: Infinity, restarts: [], joinsAtMs: [] }

describe('a cold target', () => {
  it('gets no more than the bound in any second, whatever the instances know of one another', () => {
    const atMs = fc.integer({ min: 0, max: DURATION_MS })
    const plans: fc.Arbitrary<Plan> = fc.record({
      seed: fc.nat(),
      instances: fc.integer({ min: 1, max: 70 }),
      perSecond: fc.double({ min: 0.5, max: 60, noNaN: true }),
      splitShare: fc.double({ min: 0.1, max: 0.9, noNaN: true }),
      splitAtMs: fc.integer({ min: 4000, max: DURATION_MS }),
      restarts: fc.array(fc.record({ index: fc.nat(70), atMs }), { maxLength: 12 }),
      joinsAtMs: fc.array(atMs, { maxLength: 4 })
    })
    fc.assert(fc.property(plans, plan => {
      const { most, allowed } = doTest(plan)
      expect(most).toBeLessThanOrEqual(allowed)
    }), { numRuns: 60 })
  }, 60_000)

  it('gets no more than the bound while both sides of a partition use it', () => {
    const { most, allowed } = doTest({ ...CALM, splitAtMs: 5000 })
    expect(most).toBeLessThanOrEqual(allowed)
  })

  it('gets most of its rate from a fleet that is whole', () => {
    // No instance sends in the first 3 s, and all begin at once after that.
    const { sent } = doTest(CALM)
    expect(sent).toBeGreaterThan(0.8 * CALM.perSecond * (DURATION_MS - 3000 - MAX_JOIN_MS) / 1000)
  })
})
