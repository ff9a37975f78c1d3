import { type Target } from '@fescuespoke/common'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'
import { OrderFleet } from '../support/OrderFleet.js'

const PERMIT_WAIT_MS = 35_000
const TARGETS = ['t1', 't2', 't3']

function createState (version: string, fencing: string, copies = 2): Record<string, string> {
  return createValues({
    targets: TARGETS.map(name => createTargetItem(name, { fencing })),
    chat: createServiceItem('chat', { runs: { model: 'm', version }, copies, deadlineMs: 20_000 })
  })
}

describe('OrderGiver', () => {
  let fleet: OrderFleet

  beforeEach(() => { fleet = OrderFleet.create() })
  afterEach(async () => { await fleet.stop() })

  /** Starts order givers in one zone, waits until loads are permitted, runs the steps and tells what the engines hold. */
  async function doTest (count: number, fencing: string, ...steps: Array<() => void | Promise<unknown>>): Promise<Record<string, string>> {
    for (let index = 0; index < count; index++) fleet.startGiver(`i${index}`, 'z1')
    fleet.offer(1, createState('1', fencing))
    await fleet.clock.advance(PERMIT_WAIT_MS + 10_000)
    for (const step of steps) {
      await step()
      await fleet.clock.advance(20_000)
    }
    return fleet.engines.describe()
  }

  const findGiver = (target: string): string => [...fleet.givers].find(([, { giver }]) => giver.listAssigned().includes(target))?.[0] ?? ''
  const getTarget = (name: string, fencing: Target['fencing']): Target =>
    ({ name, url: `http://${name}`, availabilityZone: 'z1', region: 'r1', fencing })

  it('loads a model on as many targets as the record says, each once', async () => {
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

  it('assigns each target to exactly one order giver', async () => {
    await doTest(3, 'enforced')
    expect([...fleet.givers.values()].flatMap(({ giver }) => giver.listAssigned()).sort()).toEqual(TARGETS)
  })

  it('loads another version before it unloads the one in use, on the same targets', async () => {
    await doTest(2, 'enforced')
    const before = fleet.engines.listReady('m||1')
    fleet.offer(2, createState('2', 'enforced'))
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
    fleet.leaving.add(first)
    await fleet.clock.advance(20_000)
    expect(fleet.engines.listReady('m||1').length).toBe(3)
  })

  it('orders nothing for an amendment that the next revision takes back', async () => {
    await doTest(1, 'enforced', () => { fleet.engines.orders.length = 0 })
    for (let revision = 2; revision < 42; revision++) {
      fleet.offer(revision, createState(revision % 2 === 0 ? '2' : '1', 'enforced'))
      await fleet.clock.advance(3000)
    }
    fleet.offer(42, createState('1', 'enforced'))
    await fleet.clock.advance(60_000)
    expect(fleet.engines.orders).toEqual([])
  })

  it('cannot undo newer orders with an old revision at a target that checks fencing numbers', async () => {
    await doTest(1, 'enforced')
    fleet.startGiver('late', 'z1')
    fleet.split(['i0'], ['late'])
    fleet.offer(1, createState('0', 'enforced'), ['late'])
    fleet.offer(3, createState('2', 'enforced'), ['i0'])
    await fleet.clock.advance(120_000)
    expect(fleet.engines.listReady('m||2').length).toBe(2)
    expect(fleet.engines.listReady('m||0')).toEqual([])
    expect(new Set(fleet.givers.get('late')?.revisionsNamed)).toEqual(new Set([3]))
  })

  it('is refused when it reads an older fencing number than the target holds at the order', async () => {
    await doTest(1, 'enforced')
    const giver = fleet.givers.get('i0')
    if (giver === undefined) return
    giver.around = async ({ name }) => { fleet.engines.fences.set(name, 1); return true }
    fleet.offer(2, createState('2', 'enforced'))
    const raise = async (): Promise<void> => { for (const name of TARGETS) fleet.engines.fences.set(name, 5 * 65_536) }
    const request = giver.permits.requestPermit.bind(giver.permits)
    giver.permits.requestPermit = async () => { await raise(); return await request() }
    await fleet.clock.advance(15_000)
    expect(fleet.engines.listReady('m||2')).toEqual([])
    expect(fleet.listAudit('i0').filter(text => text.startsWith('orderRefused'))[0]).toMatchInlineSnapshot('"orderRefused t2 load m||2, fence 131072: refused, the target has accepted 327680"')
    expect(giver.revisionsNamed).toContain(5)
  })

  it('gives the same placement from two order givers of one revision', async () => {
    await doTest(2, 'enforced')
    fleet.split(['i0'], ['i1'])
    fleet.offer(2, createState('2', 'enforced'))
    await fleet.clock.advance(200_000)
    const loads = fleet.engines.orders.filter(({ action, version }) => action === 'load' && version === '2').map(({ target }) => target)
    expect(fleet.engines.listReady('m||2').length).toBe(2)
    expect(new Set(loads).size).toBe(2)
    expect(fleet.engines.listReady('m||1')).toEqual([])
  })

  it('holds off after taking over a target that ignores fencing numbers', async () => {
    await doTest(3, 'ignored')
    const target = fleet.engines.listReady('m||1')[0] ?? ''
    await fleet.stopGiver(findGiver(target))
    fleet.engines.orders.length = 0
    fleet.engines.carryOut(getTarget(target, 'ignored'), { fence: 0, action: 'unload', model: 'm', version: '1' })
    const startedAtMs = fleet.clock.nowMs()
    await fleet.clock.advance(100_000)
    const load = fleet.engines.orders.find(({ action }) => action === 'load')
    expect(load?.target).toBe(target)
    expect((load?.atMs ?? 0) - startedAtMs).toBeGreaterThan(5000)
  })

  it('corrects what a stale order has undone at a target that ignores fencing numbers', async () => {
    await doTest(1, 'ignored', () => fleet.offer(2, createState('2', 'ignored')))
    const [target = ''] = fleet.engines.listReady('m||2')
    fleet.engines.carryOut(getTarget(target, 'ignored'), { fence: 1, action: 'unload', model: 'm', version: '2' })
    await fleet.clock.advance(20_000)
    expect(fleet.engines.listReady('m||2')).toContain(target)
    expect(fleet.listAudit('i0').find(text => text.includes('gone without'))).toMatchInlineSnapshot('"modelLost t2 m||2 is gone without an order of this instance; it will be loaded again, fence 131072: undefined"')
  })

  it('gives no orders to targets that ignore fencing from a minority with old records', async () => {
    await doTest(3, 'ignored')
    const target = fleet.engines.listReady('m||1')[0] ?? ''
    fleet.split(['i0'], ['i1', 'i2'])
    await fleet.clock.advance(12_000)
    fleet.engines.orders.length = 0
    fleet.givers.get('i1')?.configuration.offer(createState('2', 'ignored'), 2, 'test')
    fleet.givers.get('i2')?.configuration.offer(createState('2', 'ignored'), 2, 'test')
    await fleet.clock.advance(120_000)
    expect(fleet.engines.listReady('m||2')).toContain(target)
    expect(fleet.listAudit('i0').filter(text => text.includes('m||1') && text.includes('load')).length)
      .toBe(fleet.listAudit('i0').length)
    expect(fleet.engines.orders.filter(({ version, action }) => version === '1' && action === 'load')).toEqual([])
  })

  it('gives no order when the process was paused after reading the state', async () => {
    await doTest(1, 'ignored', () => { fleet.engines.orders.length = 0 })
    const giver = fleet.givers.get('i0')
    if (giver === undefined) return
    giver.around = async () => { fleet.clock.jump(3000); return true }
    fleet.offer(2, createState('2', 'ignored'))
    await fleet.clock.advance(60_000)
    expect(fleet.engines.orders).toEqual([])
  })
})
