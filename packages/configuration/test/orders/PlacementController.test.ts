import { type Target } from '@fescuespoke/common'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'
import { PlacementFleet } from '../support/PlacementFleet.js'

const PERMIT_WAIT_MS = 35_000
const TARGETS = ['t1', 't2', 't3']

function createState (version: string, fencing: string, copies = 2): Record<string, string> {
  return createValues({
    targets: TARGETS.map(name => createTargetItem(name, { fencing })),
    chat: createServiceItem('chat', { runs: { model: 'm', version }, copies, deadlineMs: 20_000 })
  })
}

describe('PlacementController', () => {
  let fleet: PlacementFleet

  beforeEach(() => { fleet = PlacementFleet.create() })
  afterEach(async () => { await fleet.stop() })

  /** Starts controllers in one zone, waits until loads are permitted, runs the steps and describes the models of the engines. */
  async function doTest (count: number, fencing: string, ...steps: Array<() => void | Promise<unknown>>): Promise<Record<string, string>> {
    for (let index = 0; index < count; index++) fleet.startController(`i${index}`, 'z1')
    fleet.publish(1, createState('1', fencing))
    await fleet.clock.advance(PERMIT_WAIT_MS + 10_000)
    for (const step of steps) {
      await step()
      await fleet.clock.advance(20_000)
    }
    return fleet.engines.describeModels()
  }

  const findController = (target: string): string => [...fleet.controllers].find(([, { controller }]) => controller.listAssigned().includes(target))?.[0] ?? ''
  const createTarget = (name: string, fencing: Target['fencing']): Target =>
    ({ name, url: `http://${name}`, availabilityZone: 'z1', region: 'r1', fencing })

  it('loads a model once on each of as many targets as the record has copies', async () => {
    expect(await doTest(3, 'enforced')).toMatchInlineSnapshot(`
      {
        "t1": "",
        "t2": "m||1",
        "t3": "m||1",
      }
    `)
    expect(fleet.engines.orders.map(({ target, action, fence }) => `${action} at ${target}, fence ${fence}`).sort()).toMatchInlineSnapshot(`
      [
        "load at t2, fence 65536",
        "load at t3, fence 65536",
      ]
    `)
  })

  it('assigns each target to exactly one controller', async () => {
    await doTest(3, 'enforced')
    expect([...fleet.controllers.values()].flatMap(({ controller }) => controller.listAssigned()).sort()).toEqual(TARGETS)
  })

  it('loads another version before it unloads the one in use, on the same targets', async () => {
    await doTest(2, 'enforced')
    const before = fleet.engines.listReady('m||1')
    fleet.publish(2, createState('2', 'enforced'))
    for (let step = 0; step < 60; step++) {
      await fleet.clock.advance(1000)
      const ready = new Set([...fleet.engines.listReady('m||1'), ...fleet.engines.listReady('m||2')])
      expect([...ready].sort()).toEqual(before.toSorted())
    }
    expect([fleet.engines.listReady('m||1'), fleet.engines.listReady('m||2').sort()]).toEqual([[], before.toSorted()])
  })

  it('moves copies away from a leaving target', async () => {
    await doTest(2, 'enforced')
    const [first = ''] = fleet.engines.listReady('m||1')
    fleet.leavingTargets.add(first)
    await fleet.clock.advance(20_000)
    expect(fleet.engines.listReady('m||1').length).toBe(3)
  })

  it('sends no orders for a change that the next revision reverts', async () => {
    await doTest(1, 'enforced', () => { fleet.engines.orders.length = 0 })
    for (let revision = 2; revision < 42; revision++) {
      fleet.publish(revision, createState(revision % 2 === 0 ? '2' : '1', 'enforced'))
      await fleet.clock.advance(3000)
    }
    fleet.publish(42, createState('1', 'enforced'))
    await fleet.clock.advance(60_000)
    expect(fleet.engines.orders).toEqual([])
  })

  it('cannot revert newer orders with an old revision at a target that enforces fencing tokens', async () => {
    await doTest(1, 'enforced')
    fleet.startController('late', 'z1')
    fleet.split(['i0'], ['late'])
    fleet.publish(1, createState('0', 'enforced'), ['late'])
    fleet.publish(3, createState('2', 'enforced'), ['i0'])
    await fleet.clock.advance(120_000)
    expect(fleet.engines.listReady('m||2').length).toBe(2)
    expect(fleet.engines.listReady('m||0')).toEqual([])
    expect(new Set(fleet.controllers.get('late')?.reportedRevisions)).toEqual(new Set([3]))
  })

  it('sends an order that is refused when the fencing token of the target increases between the report and the order', async () => {
    await doTest(1, 'enforced')
    const controller = fleet.controllers.get('i0')
    if (controller === undefined) return
    controller.beforeAnswer = async ({ name }) => { fleet.engines.fencingTokens.set(name, 1); return true }
    fleet.publish(2, createState('2', 'enforced'))
    const raiseFencingTokens = async (): Promise<void> => { for (const name of TARGETS) fleet.engines.fencingTokens.set(name, 5 * 65_536) }
    const request = controller.permits.requestPermit.bind(controller.permits)
    controller.permits.requestPermit = async () => { await raiseFencingTokens(); return await request() }
    await fleet.clock.advance(15_000)
    expect(fleet.engines.listReady('m||2')).toEqual([])
    expect(fleet.listAudit('i0').filter(text => text.startsWith('orderRefused'))[0]).toMatchInlineSnapshot('"orderRefused t2 load m||2, fence 131072: refused, the target has accepted 327680"')
    expect(controller.reportedRevisions).toContain(5)
  })

  it('computes the same placement in two controllers of one revision', async () => {
    await doTest(2, 'enforced')
    fleet.split(['i0'], ['i1'])
    fleet.publish(2, createState('2', 'enforced'))
    await fleet.clock.advance(200_000)
    const loads = fleet.engines.orders.filter(({ action, version }) => action === 'load' && version === '2').map(({ target }) => target)
    expect(fleet.engines.listReady('m||2').length).toBe(2)
    expect(new Set(loads).size).toBe(2)
    expect(fleet.engines.listReady('m||1')).toEqual([])
  })

  it('delays orders after taking over a target that ignores fencing tokens', async () => {
    await doTest(3, 'ignored')
    const target = fleet.engines.listReady('m||1')[0] ?? ''
    await fleet.stopController(findController(target))
    fleet.engines.orders.length = 0
    fleet.engines.executeOrder(createTarget(target, 'ignored'), { fence: 0, action: 'unload', model: 'm', version: '1' })
    const startedAtMs = fleet.clock.nowMs()
    await fleet.clock.advance(100_000)
    const load = fleet.engines.orders.find(({ action }) => action === 'load')
    expect(load?.target).toBe(target)
    expect((load?.atMs ?? 0) - startedAtMs).toBeGreaterThan(5000)
  })

  it('reverts the effect of a stale order at a target that ignores fencing tokens', async () => {
    await doTest(1, 'ignored', () => fleet.publish(2, createState('2', 'ignored')))
    const [target = ''] = fleet.engines.listReady('m||2')
    fleet.engines.executeOrder(createTarget(target, 'ignored'), { fence: 1, action: 'unload', model: 'm', version: '2' })
    await fleet.clock.advance(20_000)
    expect(fleet.engines.listReady('m||2')).toContain(target)
    expect(fleet.listAudit('i0').find(text => text.includes('disappeared without'))).toMatchInlineSnapshot('"modelLost t2 m||2 disappeared without an order from this instance and will be loaded again, fence 131072: undefined"')
  })

  it('sends no orders from a minority with old records to targets that ignore fencing tokens', async () => {
    await doTest(3, 'ignored')
    const target = fleet.engines.listReady('m||1')[0] ?? ''
    fleet.split(['i0'], ['i1', 'i2'])
    await fleet.clock.advance(12_000)
    fleet.engines.orders.length = 0
    fleet.controllers.get('i1')?.configuration.update(createState('2', 'ignored'), 2, 'test')
    fleet.controllers.get('i2')?.configuration.update(createState('2', 'ignored'), 2, 'test')
    await fleet.clock.advance(120_000)
    expect(fleet.engines.listReady('m||2')).toContain(target)
    expect(fleet.listAudit('i0').filter(text => text.includes('m||1') && text.includes('load')).length)
      .toBe(fleet.listAudit('i0').length)
    expect(fleet.engines.orders.filter(({ version, action }) => version === '1' && action === 'load')).toEqual([])
  })

  it('sends no order when the process was paused after reading the state', async () => {
    await doTest(1, 'ignored', () => { fleet.engines.orders.length = 0 })
    const controller = fleet.controllers.get('i0')
    if (controller === undefined) return
    controller.beforeAnswer = async () => { fleet.clock.jump(3000); return true }
    fleet.publish(2, createState('2', 'ignored'))
    await fleet.clock.advance(60_000)
    expect(fleet.engines.orders).toEqual([])
  })
})
