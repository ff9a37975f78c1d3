import { describe, expect, it } from 'vitest'
import { TestFleet, type TestFleetOptions } from './TestFleet.js'

/** Time in which the views of a small fleet converge after a change. */
const CONVERGENCE_MS = 20_000

async function doTest (options: TestFleetOptions, act: (fleet: TestFleet) => Promise<void> | void = () => {}): Promise<Record<string, number>> {
  const fleet = TestFleet.create(options)
  await fleet.clock.advance(CONVERGENCE_MS)
  await act(fleet)
  return fleet.countViews()
}

describe('Membership', () => {
  it('discovers every instance of a small fleet', async () => {
    expect(await doTest({ size: 5 })).toMatchInlineSnapshot(`
      {
        "i01 i02 i03 i04 i05": 5,
      }
    `)
  })

  it('discovers every instance of a fleet of 50', async () => {
    expect(await doTest({ size: 50 })).toMatchInlineSnapshot(`
      {
        "50 alive": 50,
      }
    `)
  })

  it('tells all instances how large each one is, as far as it is known', async () => {
    const sizes: unknown[] = []
    await doTest({ size: 3, cores: { i01: 0.5, i03: 2 } }, fleet => {
      for (const { membership } of fleet.instances.values()) sizes.push(membership.listMembers().map(member => 'cores' in member ? member.cores : 'absent'))
    })
    expect(sizes).toEqual(Array.from({ length: 3 }, () => [0.5, 'absent', 2]))
  })

  it('contains only the local instance when no other instance is listed', async () => {
    expect(await doTest({ size: 1 })).toMatchInlineSnapshot(`
      {
        "i01": 1,
      }
    `)
  })

  it('discovers an instance that lists only one other instance', async () => {
    expect(await doTest({ size: 4 }, async fleet => {
      fleet.startInstance('new', ['i02'])
      await fleet.clock.advance(CONVERGENCE_MS)
    })).toMatchInlineSnapshot(`
      {
        "i01 i02 i03 i04 new": 5,
      }
    `)
  })

  it('removes a killed instance from the alive instances', async () => {
    expect(await doTest({ size: 5 }, async fleet => {
      fleet.kill('i03')
      await fleet.clock.advance(CONVERGENCE_MS)
    })).toMatchInlineSnapshot(`
      {
        "i01 i02 i04 i05": 4,
      }
    `)
  })

  it('records the loss of an instance in the audit trail', async () => {
    const fleet = TestFleet.create({ size: 2 })
    await fleet.clock.advance(CONVERGENCE_MS)
    fleet.kill('i02')
    await fleet.clock.advance(CONVERGENCE_MS)
    const events = fleet.get('i01').audit.getPage(0).events
    expect(events.map(({ kind, subject, before, after, cause }) => `${kind} ${subject}: ${before} to ${after}, ${cause}`)).toMatchInlineSnapshot(`
      [
        "instanceJoined i02: undefined to alive, reported by itself",
        "instanceSuspected i02: alive to suspect, no answer to probes",
        "instanceLeft i02: suspect to dead, suspicion was not refuted",
      ]
    `)
  })

  it('detects a restart under the same name at every instance', async () => {
    const fleet = TestFleet.create({ size: 5 })
    await fleet.clock.advance(CONVERGENCE_MS)
    fleet.kill('i03')
    fleet.startInstance('i03')
    await fleet.clock.advance(CONVERGENCE_MS)
    const views = [...fleet.instances.values()].map(({ membership }) => membership.findMember('i03').map(({ incarnation, state }) => `${incarnation} ${state}`).unwrapOr('none'))
    expect(new Set(views)).toEqual(new Set(['run6 alive']))
  })

  it('spreads the leaving state of an instance without a suspicion', async () => {
    const fleet = TestFleet.create({ size: 5 })
    await fleet.clock.advance(CONVERGENCE_MS)
    fleet.get('i03').membership.announceLeaving()
    await fleet.clock.advance(CONVERGENCE_MS)
    const viewsWhileLeaving = fleet.countViews()
    await Promise.all([fleet.get('i03').membership.stop(), fleet.clock.advance(1000)])
    fleet.kill('i03')
    await fleet.clock.advance(CONVERGENCE_MS)
    const kinds = [...fleet.instances.values()].flatMap(({ audit }) => audit.getPage(0).events.map(({ kind }) => kind))
    expect([viewsWhileLeaving, fleet.countViews(), kinds.includes('instanceSuspected')]).toMatchInlineSnapshot(`
      [
        {
          "i01 i02 i04 i05": 5,
        },
        {
          "i01 i02 i04 i05": 4,
        },
        false,
      ]
    `)
  })

  it('splits during a network partition and merges after it heals', async () => {
    const viewsDuringPartition: Array<Record<string, number>> = []
    const views = await doTest({ size: 8 }, async fleet => {
      fleet.network.partition(fleet.names.slice(0, 4), fleet.names.slice(4))
      await fleet.clock.advance(60_000)
      viewsDuringPartition.push(fleet.countViews())
      fleet.network.heal()
      await fleet.clock.advance(60_000)
    })
    expect([...viewsDuringPartition, views]).toMatchInlineSnapshot(`
      [
        {
          "i01 i02 i03 i04": 4,
          "i05 i06 i07 i08": 4,
        },
        {
          "i01 i02 i03 i04 i05 i06 i07 i08": 8,
        },
      ]
    `)
  })

  it('merges after a partition that is longer than the retention of dead members', async () => {
    expect(await doTest({ size: 8 }, async fleet => {
      fleet.network.partition(fleet.names.slice(0, 4), fleet.names.slice(4))
      await fleet.clock.advance(300_000)
      fleet.network.heal()
      await fleet.clock.advance(60_000)
    })).toMatchInlineSnapshot(`
      {
        "i01 i02 i03 i04 i05 i06 i07 i08": 8,
      }
    `)
  })

  it('suspects no member after a pause of the local process', async () => {
    const fleet = TestFleet.create({ size: 6 })
    await fleet.clock.advance(CONVERGENCE_MS)
    fleet.network.pause('i02')
    await fleet.clock.advance(60_000)
    const viewsDuringPause = fleet.countViews()
    const { audit, membership } = fleet.get('i02')
    const eventCountBefore = audit.getPage(0).events.length
    fleet.network.resume('i02')
    await fleet.clock.advance(CONVERGENCE_MS)
    expect(audit.getPage(0).events.slice(eventCountBefore)).toEqual([])
    expect(membership.listAlive()).toEqual(fleet.names)
    expect([viewsDuringPause, fleet.countViews()]).toMatchInlineSnapshot(`
      [
        {
          "i01 i02 i03 i04 i05 i06": 1,
          "i01 i03 i04 i05 i06": 5,
        },
        {
          "i01 i02 i03 i04 i05 i06": 6,
        },
      ]
    `)
  })

  it.each([1, 2, 3])('marks no running instance as permanently dead at a message loss of 30 % (seed %i)', async seed => {
    expect(await doTest({ size: 12, seed }, async fleet => {
      fleet.network.setFaults({ lossRate: 0.3, duplicateRate: 0.1, jitterMs: 50 })
      await fleet.clock.advance(120_000)
      fleet.network.heal()
      await fleet.clock.advance(CONVERGENCE_MS)
    })).toEqual({ '12 alive': 12 })
  })

  it.each(['empty', 'halved', 'garbage'])('keeps the members that answer when the published list is %s', async listDamage => {
    const lists: Record<string, unknown> = {
      empty: [],
      halved: [{ id: 'i01', role: 'entry', state: 'live', peerAddress: 'i01:1' }],
      garbage: [null, 7, 'text', {}, { id: 'i02', role: 'entry', peerAddress: 'nowhere' }, { id: 5, role: 'entry', peerAddress: 'a:1' }]
    }
    expect(await doTest({ size: 4 }, async fleet => {
      for (const { membership } of fleet.instances.values()) membership.setListedInstances(lists[listDamage] as never)
      await fleet.clock.advance(60_000)
      fleet.kill('i03')
      await fleet.clock.advance(CONVERGENCE_MS)
      fleet.startInstance('i03', [])
      await fleet.clock.advance(CONVERGENCE_MS)
    })).toEqual({ 'i01 i02 i03 i04': 4 })
  })

  it('removes dead instances, so that replaced names do not accumulate', async () => {
    const fleet = TestFleet.create({ size: 3 })
    for (let count = 0; count < 10; count++) {
      fleet.startInstance(`replaced${count}`, ['i01'])
      await fleet.clock.advance(10_000)
      fleet.kill(`replaced${count}`)
    }
    await fleet.clock.advance(200_000)
    expect(fleet.get('i01').membership.listMembers().map(({ instance }) => instance)).toEqual(['i01', 'i02', 'i03'])
  })

  it('passes the send time of the request with the gossip of an answer, and no time with the gossip of a request', async () => {
    const fleet = TestFleet.create({ size: 2, faults: { latencyMs: 100 } })
    await fleet.clock.advance(CONVERGENCE_MS)
    const { receivedPayloads } = fleet.get('i01')
    const ages = receivedPayloads.map(({ sentAtMs, atMs }) => sentAtMs === undefined ? 'request' : `${Math.round(atMs - sentAtMs)} ms`)
    expect([...new Set(ages)].sort()).toEqual(['200 ms', 'request'])
  })

  it('spreads changed gossip data immediately', async () => {
    const fleet = TestFleet.create({ size: 30 })
    await fleet.clock.advance(CONVERGENCE_MS)
    fleet.get('i07').setRevision(2)
    await fleet.clock.advance(100)
    const revisions = [...fleet.instances.values()].map(instance => instance.getRevision())
    expect(revisions.filter(revision => revision === 2).length).toBeGreaterThan(25)
  })
})
