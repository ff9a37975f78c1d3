import { POLICIES } from '@fescuespoke/scheduling'
import { defineCommand, runMain } from 'citty'
import { formatMeasurement } from './formatMeasurement.js'
import { measureScenario, type ScenarioMeasurement } from './measureScenario.js'
import { SCENARIOS } from './scenarios.js'

const EXIT_INVALID_ARGUMENTS = 2

const DEFAULT_POLICIES = 'default,random,leastInFlight,powerOfTwo'

const command = defineCommand({
  meta: { name: 'measure', description: 'Measures policies on the same arrivals of a scenario in virtual time' },
  args: {
    scenario: { type: 'string', default: 'steady-95', description: `all or one of ${Object.keys(SCENARIOS).join(', ')}` },
    seed: { type: 'string', default: '1', description: 'Seed of the arrivals and of all random numbers' },
    policy: { type: 'string', default: DEFAULT_POLICIES, description: `all or a comma-separated list of ${Object.keys(POLICIES).join(', ')}` },
    json: { type: 'boolean', default: false, description: 'Print one JSON document' }
  },
  run: async ({ args }) => {
    const scenarios = parseNames(args.scenario, SCENARIOS)
    const policies = parseNames(args.policy, POLICIES)
    const problems = [
      ...validateNames('scenario', scenarios, SCENARIOS),
      ...validateNames('policy', policies, POLICIES),
      ...(Number.isSafeInteger(Number(args.seed)) ? [] : [`seed: got ${args.seed}, allowed is a whole number`])
    ]
    if (problems.length > 0) {
      for (const problem of problems) console.error(problem)
      process.exitCode = EXIT_INVALID_ARGUMENTS
      return
    }
    const measurements: ScenarioMeasurement[] = []
    for (const scenario of scenarios) {
      const measurement = await measureScenario({ scenario, seed: Number(args.seed), policies })
      measurements.push(measurement)
      if (!args.json) process.stdout.write(`${formatMeasurement(measurement)}\n`)
    }
    if (args.json) process.stdout.write(`${JSON.stringify(measurements.length === 1 ? measurements[0] : measurements)}\n`)
  }
})

function parseNames (text: string, definitions: Readonly<Record<string, unknown>>): string[] {
  return text === 'all' ? Object.keys(definitions) : text.split(',')
}

function validateNames (field: string, names: readonly string[], definitions: Readonly<Record<string, unknown>>): string[] {
  const allowed = Object.keys(definitions)
  return names.filter(name => !allowed.includes(name)).map(name => `${field}: got ${name}, allowed is all, ${allowed.join(', ')}`)
}

await runMain(command)
