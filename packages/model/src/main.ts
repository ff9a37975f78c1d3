import { defineCommand, runMain } from 'citty'
import { checkModel, checkMutants, type CheckResult } from './explore/checkModels.js'
import { type Model } from './explore/Model.js'
import { MODELS } from './explore/models.js'
import { checkSpecification } from './quint/checkSpecification.js'

/** Traces of each specification that the model takes as well. */
const COMPARED_TRACES = 50

const command = defineCommand({
  meta: { name: 'check:model', description: 'Explores the models of the core protocol and runs their specifications' },
  args: {
    mutants: { type: 'boolean', description: 'Removes each guard in turn and expects an invariant to break', default: false },
    seed: { type: 'string', description: 'Seed of the random traces', default: '1' },
    samples: { type: 'string', description: 'Number of random traces of each specification', default: '300' },
    steps: { type: 'string', description: 'Most steps of a random trace', default: '60' }
  },
  run: async ({ args }) => {
    const limits = { seed: Number(args.seed), samples: Number(args.samples), steps: Number(args.steps), compared: COMPARED_TRACES }
    const listChecks = async (model: Model<any>): Promise<CheckResult[]> => args.mutants
      ? checkMutants(model)
      : [checkModel(model), await checkSpecification(model, limits)]
    let passed = true
    for (const model of MODELS) {
      const results = await listChecks(model)
      for (const { line } of results) process.stdout.write(`${line}\n`)
      passed &&= results.every(result => result.passed)
    }
    process.exitCode = passed ? 0 : 1
  }
})

await runMain(command)
