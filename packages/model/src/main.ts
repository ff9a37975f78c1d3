import { defineCommand, runMain } from 'citty'
import { checkModel, checkMutants, type CheckResult } from './explore/checkModels.js'
import { type Model } from './explore/Model.js'
import { MODELS } from './explore/models.js'
import { checkSpecification } from './quint/checkSpecification.js'

/** Number of traces of each specification that are compared with the model. */
const COMPARED_TRACE_COUNT = 50

const command = defineCommand({
  meta: { name: 'check:model', description: 'Explores the models of the core protocol and simulates their Quint specifications' },
  args: {
    mutants: { type: 'boolean', description: 'Removes guards from each model and expects an invariant to be violated', default: false },
    seed: { type: 'string', description: 'Seed of the random traces', default: '1' },
    samples: { type: 'string', description: 'Maximum number of random traces of each specification', default: '300' },
    steps: { type: 'string', description: 'Maximum number of steps of a random trace', default: '60' }
  },
  run: async ({ args }) => {
    const options = { seed: Number(args.seed), maxSamples: Number(args.samples), maxSteps: Number(args.steps), comparedTraceCount: COMPARED_TRACE_COUNT }
    const runChecks = async (model: Model<any>): Promise<CheckResult[]> => args.mutants
      ? checkMutants(model)
      : [checkModel(model), await checkSpecification(model, options)]
    let passed = true
    for (const model of MODELS) {
      const results = await runChecks(model)
      for (const { summary } of results) process.stdout.write(`${summary}\n`)
      passed &&= results.every(result => result.passed)
    }
    process.exitCode = passed ? 0 : 1
  }
})

await runMain(command)
