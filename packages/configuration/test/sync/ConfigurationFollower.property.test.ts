import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'
import { TestFleet } from '../support/TestFleet.js'

const INSTANCES = ['i0', 'i1', 'i2', 'i3']

type Step =
  | { readonly kind: 'publish', readonly priority: string, readonly hasLot: boolean, readonly isBad: boolean }
  | { readonly kind: 'serve', readonly revisionsBack: number }
  | { readonly kind: 'down', readonly readers: readonly string[] }
  | { readonly kind: 'split', readonly group: readonly string[] }
  | { readonly kind: 'restart', readonly instance: string }
  | { readonly kind: 'pause', readonly ms: number }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('publish' as const), priority: fc.constantFrom('high', 'low'), hasLot: fc.boolean(), isBad: fc.boolean() }) },
  fc.record({ kind: fc.constant('serve' as const), revisionsBack: fc.integer({ min: 0, max: 3 }) }),
  fc.record({ kind: fc.constant('down' as const), readers: fc.subarray(INSTANCES) }),
  fc.record({ kind: fc.constant('split' as const), group: fc.subarray(INSTANCES) }),
  fc.record({ kind: fc.constant('restart' as const), instance: fc.constantFrom(...INSTANCES) }),
  fc.record({ kind: fc.constant('pause' as const), ms: fc.integer({ min: 100, max: 30_000 }) })
)
const run = fc.array(fc.tuple(step, fc.integer({ min: 0, max: 3000 })), { minLength: 1, maxLength: 12 })

function createState ({ priority, hasLot, isBad }: Extract<Step, { kind: 'publish' }>): Record<string, string> {
  return createValues({
    targets: [createTargetItem('t1')],
    gate: isBad ? { kind: 'service', name: 'gate' } : createServiceItem('gate', { priority }),
    ...(hasLot ? { lot: createServiceItem('lot') } : {})
  })
}

/** Runs the steps on a fleet and lists the violated properties. */
async function findViolations (steps: ReadonlyArray<readonly [Step, number]>): Promise<string[]> {
  const fleet = TestFleet.create()
  const published: Array<Record<string, string>> = [{}]
  const publish = (values: Record<string, string>): void => {
    fleet.platform.publish(published.length, values)
    published.push(values)
  }
  const violations: string[] = []
  const handlers: { [K in Step['kind']]: (step: Extract<Step, { kind: K }>) => void | Promise<unknown> } = {
    publish: state => publish(createState(state)),
    serve: ({ revisionsBack }) => fleet.platform.serveState(revisionsBack === 0 ? undefined : Math.max(1, published.length - 1 - revisionsBack)),
    down: ({ readers }) => { fleet.platform.isUpFor = reader => !readers.includes(reader) },
    split: ({ group }) => fleet.network.split([...group], INSTANCES.filter(name => !group.includes(name))),
    restart: async ({ instance }) => await fleet.startInstance(instance, 'z'),
    pause: ({ ms }) => fleet.clock.jump(ms)
  }
  publish(createState({ kind: 'publish', priority: 'low', hasLot: true, isBad: false }))
  for (const instance of INSTANCES) await fleet.startInstance(instance, 'z')
  await fleet.clock.advance(1000)
  for (const [nextStep, ms] of steps) {
    const before = new Map([...fleet.instances].map(([name, running]) => [name, { running, revision: running.configuration.getRevision() }]))
    await handlers[nextStep.kind](nextStep as never)
    await fleet.clock.advance(ms)
    for (const [name, { running, revision }] of before) {
      const after = running.configuration
      if (after.getRevision() < revision) violations.push(`${name} returned from revision ${revision} to ${after.getRevision()}`)
      const expected = published[after.getRevision()] ?? {}
      if (JSON.stringify(Object.entries(after.getValues()).sort()) !== JSON.stringify(Object.entries(expected).sort())) violations.push(`${name} has different values than revision ${after.getRevision()}`)
    }
  }
  fleet.network.split()
  fleet.platform.isUpFor = reader => reader === 'i2'
  fleet.platform.serveState()
  await fleet.clock.advance(5000)
  if (fleet.listRevisions().split(' ').some(text => !text.endsWith(`:${published.length - 1}`))) violations.push(`5 s after the faults ended: ${fleet.listRevisions()}`)
  await fleet.clock.advance(10_000)
  const snapshots = [...fleet.instances.values()].map(({ configuration }) => JSON.stringify([...configuration.getSnapshot().services]))
  if (new Set(snapshots).size !== 1) violations.push(`different records in force: ${snapshots.join(' ')}`)
  await fleet.stop()
  return violations
}

describe('ConfigurationFollower with combined faults', () => {
  it('never returns to a lower revision, and converges on all instances after the faults end', async () => {
    await fc.assert(fc.asyncProperty(run, async steps => {
      expect(await findViolations(steps)).toEqual([])
    }), { seed: 21, numRuns: 15, endOnFailure: true })
  })
})
