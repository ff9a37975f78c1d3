import { defineCommand, runMain } from 'citty'
import { checkModel, checkMutants, type CheckResult } from './explore/checkModels.js'
import { MODELS } from './explore/models.js'

const command = defineCommand({
  meta: { name: 'check:model', description: 'Explores the models of the core protocol' },
  args: {
    mutants: { type: 'boolean', description: 'Remove each guard in turn and expect an invariant to break', default: false }
  },
  run ({ args }) {
    let passed = true
    for (const model of MODELS) {
      const results: CheckResult[] = args.mutants ? checkMutants(model) : [checkModel(model)]
      for (const { line } of results) process.stdout.write(`${line}\n`)
      passed &&= results.every(result => result.passed)
    }
    process.exitCode = passed ? 0 : 1
  }
})

runMain(command)
