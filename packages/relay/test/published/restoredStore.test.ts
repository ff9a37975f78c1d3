import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { RestorableStore } from '../support/RestorableStore.js'
import { ViewFleet } from '../support/ViewFleet.js'

/** A change of the store, or a disruption. Indexes are taken modulo the number of instances or targets. */
type Step =
  | { readonly kind: 'configure' | 'compact' }
  | { readonly kind: 'register' | 'remove', readonly target: number }
  | { readonly kind: 'restore', readonly lostChanges: number, readonly nextTargets: readonly number[], readonly isRewritten: boolean, readonly rewriteAfterMs: number }
  | { readonly kind: 'silence' | 'isolate', readonly instance: number, readonly forMs: number }
  | { readonly kind: 'restart', readonly instance: number }

interface PlannedStep {
  readonly step: Step
  /** Time until the next step, in milliseconds. */
  readonly waitMs: number
}

interface Outcome {
  readonly violations: readonly string[]
  /** Highest version of any instance before the last return of the store, and the versions of all instances before it is written again. */
  readonly confirmedVersion: number
  readonly versions: readonly number[]
}

const NAMES = ['a', 'b', 'c', 'd']
const TARGETS = ['t0', 't1', 't2']

/**
 * At the end, the store loses a target and the confirmed configuration; one instance starts then, and another one hears of its
 * peers only.
 */
const RESTARTED = 'd'
const DISCONNECTED = 'c'
const LOST_TARGET = 't3'
const LAST_LOST_CHANGES = 2

const CONFIGURATION_KEY = 'configuration'

/** Time in which all instances learn of a change after the last disruption, in milliseconds. */
const SETTLE_MS = 8000

const MAX_DISRUPTION_MS = 3000

const timeMs = fc.integer({ min: 0, max: MAX_DISRUPTION_MS })
const index = fc.nat(11)
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('configure' as const, 'configure' as const, 'compact' as const) }),
  fc.record({ kind: fc.constantFrom('register' as const, 'remove' as const), target: index }),
  fc.record({ kind: fc.constant('restore' as const), lostChanges: fc.integer({ min: 1, max: 6 }), nextTargets: fc.array(index, { maxLength: 6 }), isRewritten: fc.boolean(), rewriteAfterMs: timeMs }),
  fc.record({ kind: fc.constantFrom('silence' as const, 'isolate' as const), instance: index, forMs: timeMs }),
  fc.record({ kind: fc.constant('restart' as const), instance: index })
)
const plan = fc.array(fc.record({ step, waitMs: timeMs }), { minLength: 3, maxLength: 14 })

/** Plays steps on instances that read a store and exchange what they have, with delays and losses; writes the store again at the end. */
async function doTest (steps: readonly PlannedStep[], seed: number): Promise<Outcome> {
  const clock = VirtualClock.create()
  const random = SeededRandom.create(seed)
  const store = RestorableStore.create({ clock, drawDelayMs: () => random.nextFloat() * 100 })
  const violations: string[] = []
  const writers = createWriters(store)
  const fleet = ViewFleet.create({
    names: NAMES, random, maxDelayMs: 200, lossShare: 0.05, createSource: name => store.createSource(name), view: { getVersion: ({ value }) => value?.startsWith('v') === true ? Number(value.slice(1)) : undefined }
  }, clock)
  const observe = (name: string): void => {
    const { view } = fleet.getInstance(name)
    let highest = 0
    view.addListener(() => {
      const version = view.getSummary().version
      const held = view.listItems().find(({ key }) => key === CONFIGURATION_KEY)?.value
      if (version < highest || (version > 0 && held !== `v${version}`)) violations.push(`${name} has ${held} after v${highest}`)
      highest = version
    })
  }
  const handlers: { readonly [Kind in Step['kind']]: (step: Extract<Step, { kind: Kind }>) => void } = {
    configure: () => writers.configure(),
    compact: () => store.compact(),
    register: ({ target }) => writers.setTarget(TARGETS[target % TARGETS.length]!, true),
    remove: ({ target }) => writers.setTarget(TARGETS[target % TARGETS.length]!, false),
    restore: ({ lostChanges, nextTargets, isRewritten, rewriteAfterMs }) => {
      store.restoreCopy(lostChanges)
      if (!isRewritten) writers.dropLostTargets()
      for (const [position, target] of nextTargets.entries()) writers.setTarget(TARGETS[target % TARGETS.length]!, position % 2 === 0)
      clock.startTimer(rewriteAfterMs, () => writers.rewrite())
    },
    silence: ({ instance, forMs }) => addForSomeTime(clock, store.silentInstances, NAMES[instance % NAMES.length]!, forMs),
    isolate: ({ instance, forMs }) => addForSomeTime(clock, fleet.isolated, NAMES[instance % NAMES.length]!, forMs),
    restart: ({ instance }) => {
      const name = NAMES[instance % NAMES.length]!
      fleet.restart(name)
      observe(name)
    }
  }
  writers.configure()
  for (const name of NAMES) {
    observe(name)
    fleet.run(name)
  }
  await clock.advance(SETTLE_MS)
  for (const { step: next, waitMs } of steps) {
    handlers[next.kind](next as never)
    await clock.advance(waitMs)
  }
  const listVersions = (): number[] => NAMES.map(name => fleet.getInstance(name).view.getSummary().version)
  const checkViews = (): void => {
    const published = formatItems(store.listItems())
    for (const name of NAMES) {
      const held = formatItems(fleet.getInstance(name).view.listItems())
      if (held !== published) violations.push(`${name} has ${held}, published is ${published}`)
    }
  }
  await clock.advance(MAX_DISRUPTION_MS)
  writers.rewrite()
  await clock.advance(SETTLE_MS)
  checkViews()
  writers.setTarget(LOST_TARGET, true)
  writers.configure()
  await clock.advance(SETTLE_MS)
  store.silentInstances.add(DISCONNECTED)
  store.restoreCopy(LAST_LOST_CHANGES)
  writers.dropLostTargets()
  const confirmedVersion = Math.max(...listVersions())
  handlers.restart({ kind: 'restart', instance: NAMES.indexOf(RESTARTED) })
  await clock.advance(SETTLE_MS)
  const versions = listVersions()
  writers.rewrite()
  writers.configure()
  await clock.advance(SETTLE_MS)
  checkViews()
  for (const name of NAMES) fleet.stop(name)
  return { violations, confirmedVersion, versions }
}

function formatItems (items: ReadonlyArray<{ key: string, value?: string }>): string {
  return items.map(({ key, value }) => `${key}=${value}`).sort().join()
}

interface Writers {
  configure(): void
  setTarget(target: string, isRegistered: boolean): void
  /** Ends the targets whose entries the store lost, so that they are not written again. */
  dropLostTargets(): void
  /** Writes again what the store lost. */
  rewrite(): void
}

/** Creates the operator and the targets, who remember what they wrote. */
function createWriters (store: RestorableStore): Writers {
  const written = new Map<string, string | undefined>()
  let version = 0
  const write = (key: string, value?: string): void => {
    written.set(key, value)
    if (store.getValue(key) !== value) store.put(key, value)
  }
  return {
    configure: () => write(CONFIGURATION_KEY, `v${++version}`),
    setTarget: (target, isRegistered) => write(target, isRegistered ? `at ${store.listItems().length}` : undefined),
    dropLostTargets: () => {
      for (const key of [...written.keys()]) if (key !== CONFIGURATION_KEY && store.getValue(key) === undefined) written.delete(key)
    },
    rewrite: () => { for (const [key, value] of written) write(key, value) }
  }
}

function addForSomeTime (clock: VirtualClock, names: Set<string>, name: string, forMs: number): void {
  names.add(name)
  clock.startTimer(forMs, () => names.delete(name))
}

describe('instances before a store that returns from older copies', () => {
  it('never go back to an older configuration, share the confirmed one, and end with the keys of the store', async () => {
    await fc.assert(fc.asyncProperty(plan, fc.nat(), async (steps, seed) => {
      const { violations, confirmedVersion, versions } = await doTest(steps, seed)
      expect(violations).toEqual([])
      expect(versions).toEqual(NAMES.map(() => confirmedVersion))
    }), { numRuns: 150, seed: 1 })
  })
})
