import { describe, expect, it } from 'vitest'
import { TestFleet, type TestFleetOptions } from './TestFleet.js'

/** Time in which a small fleet settles after a change. */
const SETTLE_MS = 20_000

async function doTest (options: TestFleetOptions, act: (fleet: TestFleet) => Promise<void> | void = () => {}): Promise<Record<string, number>> {
  const fleet = TestFleet.create(options)
  await fleet.clock.advance(SETTLE_MS)
  await act(fleet)
  return fleet.countViews()
}

describe('Membership', () => {
  it('finds every instance of a small fleet', async () => {
    expect(await doTest({ size: 5 })).toMatchInlineSnapshot(`
      {
        "i01 i02 i03 i04 i05": 5,
      }
    `)
  })

  it('finds every instance of a fleet of 50', async () => {
    expect(await doTest({ size: 50 })).toMatchInlineSnapshot(`
      {
        "50 alive": 50,
      }
    `)
  })

  it('is alone when nobody is listed', async () => {
    expect(await doTest({ size: 1 })).toMatchInlineSnapshot(`
      {
        "i01": 1,
      }
    `)
  })

  it('finds an instance that lists only one other', async () => {
    expect(await doTest({ size: 4 }, async fleet => {
      fleet.startInstance('new', ['i02'])
      await fleet.clock.advance(SETTLE_MS)
    })).toMatchInlineSnapshot(`
      {
        "i01 i02 i03 i04 new": 5,
      }
    `)
  })

  it('notices a killed instance', async () => {
    expect(await doTest({ size: 5 }, async fleet => {
      fleet.kill('i03')
      await fleet.clock.advance(SETTLE_MS)
    })).toMatchInlineSnapshot(`
      {
        "i01 i02 i04 i05": 4,
      }
    `)
  })

  it('records in the audit trail how an instance was lost', async () => {
    const fleet = TestFleet.create({ size: 2 })
    await fleet.clock.advance(SETTLE_MS)
    fleet.kill('i02')
    await fleet.clock.advance(SETTLE_MS)
    const events = fleet.get('i01').audit.getPage(0).events
    expect(events.map(({ kind, subject, before, after, cause }) => `${kind} ${subject}: ${before} to ${after}, ${cause}`)).toMatchInlineSnapshot(`
      [
        "instanceJoined i02: undefined to alive, told by itself",
        "instanceSuspected i02: alive to suspect, no answer to probes",
        "instanceLeft i02: suspect to dead, suspicion was not refuted",
      ]
    `)
  })

  it('recognises a restart under the same name at every instance', async () => {
    const fleet = TestFleet.create({ size: 5 })
    await fleet.clock.advance(SETTLE_MS)
    fleet.kill('i03')
    fleet.startInstance('i03')
    await fleet.clock.advance(SETTLE_MS)
    const seen = [...fleet.instances.values()].map(({ membership }) => membership.findMember('i03').map(({ incarnation, state }) => `${incarnation} ${state}`).unwrapOr('none'))
    expect(new Set(seen)).toEqual(new Set(['run6 alive']))
  })

  it('tells everybody that an instance is leaving, without a suspicion', async () => {
    const fleet = TestFleet.create({ size: 5 })
    await fleet.clock.advance(SETTLE_MS)
    fleet.get('i03').membership.announceLeaving()
    await fleet.clock.advance(SETTLE_MS)
    const leaving = fleet.countViews()
    await Promise.all([fleet.get('i03').membership.stop(), fleet.clock.advance(1000)])
    fleet.kill('i03')
    await fleet.clock.advance(SETTLE_MS)
    const kinds = [...fleet.instances.values()].flatMap(({ audit }) => audit.getPage(0).events.map(({ kind }) => kind))
    expect([leaving, fleet.countViews(), kinds.includes('instanceSuspected')]).toMatchInlineSnapshot(`
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

  it('splits with the network and joins again', async () => {
    const halves: Array<Record<string, number>> = []
    const views = await doTest({ size: 8 }, async fleet => {
      fleet.network.partition(fleet.names.slice(0, 4), fleet.names.slice(4))
      await fleet.clock.advance(60_000)
      halves.push(fleet.countViews())
      fleet.network.heal()
      await fleet.clock.advance(60_000)
    })
    expect([...halves, views]).toMatchInlineSnapshot(`
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

  it('joins again after a partition that outlasts the memory of dead members', async () => {
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

  it('accuses nobody after an own pause', async () => {
    const fleet = TestFleet.create({ size: 6 })
    await fleet.clock.advance(SETTLE_MS)
    fleet.network.pause('i02')
    await fleet.clock.advance(60_000)
    const during = fleet.countViews()
    const { audit, membership } = fleet.get('i02')
    const before = audit.getPage(0).events.length
    fleet.network.resume('i02')
    await fleet.clock.advance(SETTLE_MS)
    expect(audit.getPage(0).events.slice(before)).toEqual([])
    expect(membership.listAlive()).toEqual(fleet.names)
    expect([during, fleet.countViews()]).toMatchInlineSnapshot(`
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

  it.each([1, 2, 3])('has no lasting false deaths when 30 in 100 messages are lost (seed %i)', async seed => {
    expect(await doTest({ size: 12, seed }, async fleet => {
      fleet.network.setFaults({ lossRate: 0.3, duplicateRate: 0.1, jitterMs: 50 })
      await fleet.clock.advance(120_000)
      fleet.network.heal()
      await fleet.clock.advance(SETTLE_MS)
    })).toEqual({ '12 alive': 12 })
  })

  it.each(['empty', 'halved', 'garbage'])('keeps the members that answer when the list is %s', async damage => {
    const lists: Record<string, unknown> = {
      empty: [],
      halved: [{ id: 'i01', role: 'entry', state: 'live', peerAddress: 'i01:1' }],
      garbage: [null, 7, 'text', {}, { id: 'i02', role: 'entry', peerAddress: 'nowhere' }, { id: 5, role: 'entry', peerAddress: 'a:1' }]
    }
    expect(await doTest({ size: 4 }, async fleet => {
      for (const { membership } of fleet.instances.values()) membership.setListed(lists[damage] as never)
      await fleet.clock.advance(60_000)
      fleet.kill('i03')
      await fleet.clock.advance(SETTLE_MS)
      fleet.startInstance('i03', [])
      await fleet.clock.advance(SETTLE_MS)
    })).toEqual({ 'i01 i02 i03 i04': 4 })
  })

  it('forgets dead instances, so that replaced names do not pile up', async () => {
    const fleet = TestFleet.create({ size: 3 })
    for (let count = 0; count < 10; count++) {
      fleet.startInstance(`replaced${count}`, ['i01'])
      await fleet.clock.advance(10_000)
      fleet.kill(`replaced${count}`)
    }
    await fleet.clock.advance(200_000)
    expect(fleet.get('i01').membership.listMembers().map(({ instance }) => instance)).toEqual(['i01', 'i02', 'i03'])
  })

  it('dates what an answer tells by the moment its request was sent, and what is told unasked not at all', async () => {
    const fleet = TestFleet.create({ size: 2, faults: { latencyMs: 100 } })
    await fleet.clock.advance(SETTLE_MS)
    const { observed } = fleet.get('i01')
    const ages = observed.map(({ sentAtMs, atMs }) => sentAtMs === undefined ? 'unasked' : `${Math.round(atMs - sentAtMs)} ms`)
    expect([...new Set(ages)].sort()).toEqual(['200 ms', 'unasked'])
  })

  it('spreads announced news at once', async () => {
    const fleet = TestFleet.create({ size: 30 })
    await fleet.clock.advance(SETTLE_MS)
    fleet.get('i07').setRevision(2)
    await fleet.clock.advance(100)
    const revisions = [...fleet.instances.values()].map(instance => instance.getRevision())
    expect(revisions.filter(revision => revision === 2).length).toBeGreaterThan(25)
  })
})
