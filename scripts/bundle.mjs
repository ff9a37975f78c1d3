// Bundles the platform process into target/, and prints the libraries of which it contains modules when called with --list.
import { bundleProgram } from './bundleProgram.mjs'

const { inputs } = await bundleProgram('platform/src/main.ts', 'target/fescuespoke-platform.cjs')
if (process.argv.includes('--list')) console.log(listLibraries(inputs).join('\n'))

function listLibraries (paths) {
  const names = paths.map(path => /.*node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(path)?.[1])
  return [...new Set(names.filter(name => name !== undefined))].sort()
}
