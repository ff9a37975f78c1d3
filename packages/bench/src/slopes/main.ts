import { setMaxListeners } from 'node:events'
import { defineCommand, runMain } from 'citty'
import { measureDaemon } from './measureDaemon.js'
import { measureFleet } from './measureFleet.js'
import { measureMembership } from './measureMembership.js'
import { measureState } from './measureState.js'
import { fitSlope, type Slope } from './Slope.js'
import { type SlopePoint } from './SlopePoint.js'

const FLEET_SIZES = [8, 16, 32, 64]
const SEED = 1

/** Sleeping tasks of a fleet share one signal. */
setMaxListeners(0)

const command = defineCommand({
  meta: { name: 'slopes', description: 'Measures how the costs of an instance grow' },
  args: { json: { type: 'boolean', description: 'Print one JSON document' } },
  run: async ({ args }) => {
    const slopes = [...measureState(), ...await measureFleets(), ...await measureFleet(), ...await measureDaemon()]
    if (args.json === true) console.log(JSON.stringify({ slopes }))
    else for (const slope of slopes) console.log(formatSlope(slope))
  }
})

async function measureFleets (): Promise<Slope[]> {
  const points = await measureMembership(FLEET_SIZES, SEED)
  const createSlope = (name: string, unit: string, field: Exclude<keyof SlopePoint, 'size'>): Slope =>
    fitSlope({ name, unit, per: 'instance', points: points.map(point => ({ size: point.size, value: point[field] })) })
  return [
    createSlope('membershipMessages', 'messages a second', 'messagesPerSecond'),
    createSlope('membershipControl', 'bytes a second', 'bytesPerSecond'),
    createSlope('membershipCpu', 'milliseconds a second', 'cpuMsPerSecond'),
    createSlope('membershipHeap', 'bytes', 'heapBytes')
  ]
}

function formatSlope (slope: Slope): string {
  const points = slope.points.map(({ size, value }) => `${size}: ${formatNumber(value)}`).join(', ')
  const line = `${formatNumber(slope.intercept)} + ${formatNumber(slope.slope)} for each ${slope.per}`
  return `${slope.name} (${slope.unit}): ${line}, residual ${formatNumber(slope.residualShare * 100)} %, at ${points}`
}

function formatNumber (value: number): string {
  return Number(value.toPrecision(4)).toString()
}

runMain(command)
