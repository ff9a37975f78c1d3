import { setMaxListeners } from 'node:events'
import { defineCommand, runMain } from 'citty'
import { measureDaemon } from './measureDaemon.js'
import { measureControlTraffic } from './measureControlTraffic.js'
import { measureMembership } from './measureMembership.js'
import { measureState } from './measureState.js'
import { fitLine, type LinearFit } from './LinearFit.js'
import { type MembershipCost } from './MembershipCost.js'

const FLEET_SIZES = [8, 16, 32, 64]
const SEED = 1

// Many sleeping tasks of a fleet listen to one abort signal, which would exceed the default maximum of listeners.
setMaxListeners(0)

const command = defineCommand({
  meta: { name: 'slopes', description: 'Measures how the costs of an instance grow with load and fleet size' },
  args: { json: { type: 'boolean', description: 'Print one JSON document' } },
  run: async ({ args }) => {
    const slopes = [...measureState(), ...await measureMembershipFits(), ...await measureControlTraffic(), ...await measureDaemon()]
    if (args.json === true) console.log(JSON.stringify({ slopes }))
    else for (const slope of slopes) console.log(formatFit(slope))
  }
})

async function measureMembershipFits (): Promise<LinearFit[]> {
  const points = await measureMembership(FLEET_SIZES, SEED)
  const fitField = (name: string, unit: string, field: Exclude<keyof MembershipCost, 'size'>): LinearFit =>
    fitLine({ name, unit, per: 'instance', points: points.map(point => ({ size: point.size, value: point[field] })) })
  return [
    fitField('membershipMessages', 'messages a second', 'messagesPerSecond'),
    fitField('membershipControl', 'bytes a second', 'bytesPerSecond'),
    fitField('membershipCpu', 'milliseconds a second', 'cpuMsPerSecond'),
    fitField('membershipHeap', 'bytes', 'heapBytes')
  ]
}

function formatFit (slope: LinearFit): string {
  const points = slope.points.map(({ size, value }) => `${size}: ${formatNumber(value)}`).join(', ')
  const line = `${formatNumber(slope.intercept)} + ${formatNumber(slope.slope)} for each ${slope.per}`
  return `${slope.name} (${slope.unit}): ${line}, residual ${formatNumber(slope.residualShare * 100)} %, at ${points}`
}

function formatNumber (value: number): string {
  return Number(value.toPrecision(4)).toString()
}

runMain(command)
