import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'
import { TestFleet } from '../support/TestFleet.js'

const PROPAGATION_MS = 5000
const BASE = createValues({ targets: [createTargetItem('t1')], gate: createServiceItem('gate') })
const AMENDED = { ...BASE, gate: JSON.stringify(createServiceItem('gate', { priority: 'high' })) }
const DELETED = { targets: BASE.targets as string }
const BAD = { ...BASE, gate: '7' }

describe('ConfigurationFollower', () => {
  let fleet: TestFleet

  beforeEach(() => { fleet = TestFleet.create() })
  afterEach(async () => { await fleet.stop() })

  /** Starts instances, waits until they have accepted revision 1, runs the steps and returns the accepted revisions. */
  async function doTest (count: number, ...steps: Array<() => void | Promise<unknown>>): Promise<string> {
    fleet.platform.publish(1, BASE)
    fleet.platform.publishList(1, [{ id: 't1', role: 'target', state: 'live' }])
    for (let index = 0; index < count; index++) await fleet.startInstance(`i${index}`, `z${index % 3}`)
    await fleet.clock.advance(PROPAGATION_MS)
    for (const step of steps) {
      await step()
      await fleet.clock.advance(PROPAGATION_MS)
    }
    return fleet.listRevisions()
  }

  const publish = (revision: number, values: Record<string, string>) => () => fleet.platform.publish(revision, values)
  const listAudit = (instance: string): string[] =>
    (fleet.instances.get(instance)?.audit.getPage(0).events ?? []).map(({ kind, subject, revision, cause }) => `${kind} ${subject} ${revision}: ${cause}`)

  it('propagates a change to every instance of a small fleet', async () => {
    expect(await doTest(3, publish(2, AMENDED))).toBe('i0:2 i1:2 i2:2')
  })

  it('propagates a change to a fleet in which few instances read the service', async () => {
    const revisions = await doTest(30, publish(2, AMENDED))
    expect(new Set(revisions.split(' ').map(text => text.split(':')[1]))).toEqual(new Set(['2']))
    expect([...fleet.instances.values()].filter(({ follower }) => follower.isWatcher()).length).toBe(6)
  })

  it('limits the reads of the service to the watchers', async () => {
    await doTest(30)
    const before = fleet.platform.reads
    await fleet.clock.advance(10_000)
    const perSecond = (fleet.platform.reads - before) / 10
    // Six watchers read the records every 500 ms and the list every 400 ms.
    expect(perSecond).toBeLessThan(6 * (2 + 2.5) + 1)
  })

  it('keeps the accepted revision while the service is down, and catches up afterwards', async () => {
    expect(await doTest(2, () => { fleet.platform.isUpFor = () => false })).toBe('i0:1 i1:1')
    fleet.platform.publish(2, AMENDED)
    await fleet.clock.advance(60_000)
    expect(fleet.listRevisions()).toBe('i0:1 i1:1')
    fleet.platform.isUpFor = () => true
    await fleet.clock.advance(PROPAGATION_MS)
    expect(fleet.listRevisions()).toBe('i0:2 i1:2')
    // The source of an accepted revision is removed, because it depends on whether the service or a peer answers first.
    expect(listAudit('i0').map(text => text.replace(/^(revisionAccepted .*):.*/, '$1'))).toMatchInlineSnapshot(`
      [
        "revisionAccepted configuration 1",
        "sourceLost configuration service 1: down",
        "sourceLost instance list 0: down",
        "sourceRestored instance list 0: usable again after: down",
        "revisionAccepted configuration 2",
        "sourceRestored configuration service 2: usable again after: down",
      ]
    `)
  })

  it('propagates a change through the only instance that the service answers', async () => {
    expect(await doTest(20, () => { fleet.platform.isUpFor = reader => reader === 'i7' }, publish(2, AMENDED)))
      .toMatch(/^(i\d+:2 ?){20}$/)
  })

  it('ignores an older state of the service and records it', async () => {
    expect(await doTest(2, publish(2, DELETED), () => fleet.platform.serveState(1))).toBe('i0:2 i1:2')
    expect(fleet.instances.get('i0')?.configuration.getSnapshot().services.size).toBe(0)
    expect(listAudit('i0').at(-1)).toMatchInlineSnapshot('"sourceLost configuration service 2: serves revision 1, lower than the accepted 2"')
  })

  it('updates a restarted instance to the revision of its peers when the service is stale', async () => {
    expect(await doTest(3, publish(2, DELETED), () => fleet.platform.serveState(1), async () => await fleet.startInstance('i1', 'z1')))
      .toBe('i0:2 i2:2 i1:2')
  })

  it('waits in a new instance for the answers of its peers when the service is stale', async () => {
    await doTest(3, publish(2, DELETED), () => fleet.platform.serveState(1))
    const { follower, configuration, list } = await fleet.startInstance('i9', 'z1')
    const initialRefresh = follower.waitForInitialRefresh(() => list.getVersion() > 0)
    await fleet.clock.advance(600)
    await initialRefresh
    expect(configuration.getRevision()).toBe(2)
  })

  it('limits the wait for an instance list that never arrives', async () => {
    fleet.platform.isUpFor = () => false
    const { follower } = await fleet.startInstance('i9', 'z1')
    const initialRefresh = follower.waitForInitialRefresh(() => false)
    await fleet.clock.advance(3000)
    await initialRefresh
  })

  it('updates a new instance from its peers when the service is down', async () => {
    expect(await doTest(2, publish(2, AMENDED), () => { fleet.platform.isUpFor = () => false }, async () => await fleet.startInstance('i9', 'z1')))
      .toBe('i0:2 i1:2 i9:2')
    expect(fleet.instances.get('i9')?.configuration.getSnapshot()).toEqual(fleet.instances.get('i0')?.configuration.getSnapshot())
  })

  it('converges on the higher revision after a partition ends', async () => {
    expect(await doTest(4,
      () => {
        fleet.network.split(['i0', 'i1'], ['i2', 'i3'])
        fleet.platform.isUpFor = reader => reader === 'i0'
      },
      publish(2, DELETED)
    )).toBe('i0:2 i1:2 i2:1 i3:1')
    fleet.network.split()
    fleet.platform.isUpFor = () => false
    await fleet.clock.advance(PROPAGATION_MS)
    expect(fleet.listRevisions()).toBe('i0:2 i1:2 i2:2 i3:2')
  })

  it('updates a restarted instance with the predecessor of an invalid record', async () => {
    expect(await doTest(2, publish(2, AMENDED), publish(3, BAD), async () => await fleet.startInstance('i1', 'z1'))).toBe('i0:3 i1:3')
    const views = [...fleet.instances.values()].map(({ configuration }) => configuration)
    expect(views.map(view => view.getSnapshot().services.get('gate')?.priority)).toEqual(['high', 'high'])
    expect(views[1]?.listRefused()).toEqual(views[0]?.listRefused())
  })

  it('reads the whole state again after the service has lost and replaced its content', async () => {
    const replaced = createValues({ targets: [createTargetItem('t7')], lot: createServiceItem('lot') })
    await doTest(2, publish(2, { ...AMENDED, more: JSON.stringify(createTargetItem('t8')) }), () => fleet.platform.restoreState(1), publish(3, replaced))
    const snapshots = [...fleet.instances.values()].map(({ configuration }) => configuration.getSnapshot())
    expect(snapshots.map(({ revision, targets }) => `${revision} ${[...targets.keys()].join()}`)).toEqual(['3 t7', '3 t7'])
  })

  it('fetches a revision reported by a request lease from the hinted peer', async () => {
    await doTest(2, () => { fleet.platform.isUpFor = reader => reader === 'i0' })
    fleet.platform.publish(2, AMENDED)
    await fleet.clock.advance(20)
    fleet.instances.get('i1')?.follower.requestRevision(2, 'i0')
    await fleet.clock.advance(5)
    expect(fleet.listRevisions()).toBe('i0:2 i1:2')
  })

  it('transfers a state that is larger than one frame', async () => {
    const large = Object.fromEntries(Array.from({ length: 6 }, (_, index) => [`k${index}`, JSON.stringify('x'.repeat(900_000))]))
    await doTest(2, publish(2, { ...BASE, ...large }), () => { fleet.platform.isUpFor = () => false }, async () => await fleet.startInstance('i9', 'z1'))
    const values = [...fleet.instances.values()].map(({ configuration }) => Object.keys(configuration.getValues()).length)
    expect(values).toEqual([8, 8, 8])
  })
})
