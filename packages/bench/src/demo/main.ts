import { type DeploymentName } from '@fescuespoke/standins'
import { type DemoResult, runDemo } from './runDemo.js'

/** Maximum time in seconds until an amended record must be in force at every running instance. */
const MAX_PROPAGATION_SECONDS = 5

const DEPLOYMENTS: readonly DeploymentName[] = ['spas', 'garages']

const results: DemoResult[] = []
for (const deployment of DEPLOYMENTS) {
  const result = await runDemo(deployment)
  for (const violation of result.violations) console.error(`${deployment}: ${violation}`)
  results.push(result)
}

function sumCounts (name: Exclude<keyof DemoResult, 'violations'>): number {
  return results.reduce((sum, result) => sum + result[name], 0)
}

const configurationSeconds = Math.max(...results.map(result => result.configurationSeconds))
const broken = sumCounts('broken')
const doubled = sumCounts('doubled')
const ok = broken === 0 && doubled === 0 && sumCounts('complete') > 0 && configurationSeconds <= MAX_PROPAGATION_SECONDS
console.log(JSON.stringify({
  requests: sumCounts('requests'),
  complete: sumCounts('complete'),
  notRun: sumCounts('notRun'),
  unknown: sumCounts('unknown'),
  failed: sumCounts('failed'),
  broken,
  doubled,
  configurationSeconds,
  ok
}))
process.exitCode = ok ? 0 : 1
