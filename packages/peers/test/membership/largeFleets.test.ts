import { type AnyPeerMessage } from '@fescuespoke/common'
import { describe, expect, it, vi } from 'vitest'
import { TestFleet } from './TestFleet.js'

/** Time in which the views of a large fleet converge after a common start, and time observed afterwards, in milliseconds. */
const START_MS = 20_000
const OBSERVED_MS = 15_000

/** Limits of the fleet on the platform. */
const LIMITS = { probeMs: 500, probeTimeoutMs: 250, suspicionMs: 1500, syncMs: 5000, searchMs: 1000, maxGossipMembers: 32 }

/** Time within which all instances have to know a change, which is the time in which the platform calls an instance in touch, in milliseconds. */
const CHANGE_MS = 5000

async function startFleet (size: number): Promise<TestFleet> {
  const fleet = TestFleet.create({ size, limits: LIMITS })
  await fleet.clock.advance(START_MS)
  return fleet
}

/** Returns the highest number of peers that an instance probed, and the highest number of its probes per second. */
async function doTest (size: number): Promise<{ mostPeers: number, mostProbesPerSecond: number }> {
  const fleet = await startFleet(size)
  const probes = [...fleet.instances.values()].map(({ peer }) => {
    const request = vi.spyOn(peer, 'request')
    return () => request.mock.calls.filter(([, message]) => (message as AnyPeerMessage).type === 'ping').map(([to]) => to)
  })
  await fleet.clock.advance(OBSERVED_MS)
  const recipients = probes.map(list => list())
  return {
    mostPeers: Math.max(...recipients.map(names => new Set(names).size)),
    mostProbesPerSecond: Math.round(Math.max(...recipients.map(names => names.length)) / (OBSERVED_MS / 1000))
  }
}

describe('Membership of a large fleet', () => {
  it.each([24, 80, 195])('probes few of %i instances', async size => {
    const { mostPeers, mostProbesPerSecond } = await doTest(size)
    expect(mostPeers).toBeLessThanOrEqual(2 * Math.ceil(Math.log2(size)))
    expect(mostProbesPerSecond).toBe(2)
  })

  it.each([80, 195])('knows all of %i instances after a common start, and the loss of some of them in time', async size => {
    const fleet = await startFleet(size)
    expect(fleet.countViews()).toEqual({ [`${size} alive`]: size })
    const killed = fleet.names.filter((_, index) => index % 5 === 0)
    for (const name of killed) fleet.kill(name)
    await fleet.clock.advance(CHANGE_MS)
    expect(fleet.countViews()).toEqual({ [`${size - killed.length} alive`]: size - killed.length })
  })
})
