// Bundles the platform process into target/ with its code cache, and prints the libraries of which it contains modules when called with --list.
import { spawnSync } from 'node:child_process'
import { copyFileSync, readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bundleProgram } from './bundleProgram.mjs'

/** Exit status of the program without settings. */
const BAD_SETTINGS_STATUS = 2

const root = fileURLToPath(new URL('..', import.meta.url))
const cachePath = join(root, 'target/program.cache')
const starterPath = join(root, 'target/fescuespoke-platform.cjs')

const { inputs } = await bundleProgram('platform/src/main.ts', 'target/program.cjs')
copyFileSync(join(root, 'scripts/startProgram.cjs'), starterPath)
createCodeCache()
if (process.argv.includes('--list')) console.log(listLibraries(inputs).join('\n'))

/** Creates the cache with the flags of the deployed program, since other flags make it unusable. */
function createCodeCache () {
  rmSync(cachePath, { force: true })
  const flags = /^run = "node (.*) target\//m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ')
  const env = { ...process.env, FESCUESPOKE_SETTINGS: join(root, 'target/no-settings.json') }
  const { status, stderr } = spawnSync(process.execPath, [...flags, join(root, 'scripts/createCodeCache.cjs'), starterPath], { env, encoding: 'utf8' })
  if (status !== BAD_SETTINGS_STATUS) throw new Error(`the program did not load: ${stderr}`)
}

function listLibraries (paths) {
  const names = paths.map(path => /.*node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(path)?.[1])
  return [...new Set(names.filter(name => name !== undefined))].sort()
}
