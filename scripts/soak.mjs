// Bundles the process for the platform and the soak into target/, and runs the soak with the arguments given.
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { bundleProgram } from './bundleProgram.mjs'
import './bundle.mjs'

await bundleProgram('platform/soak/main.ts', 'target/soak.cjs')
const { status } = spawnSync(process.execPath, ['target/soak.cjs', ...process.argv.slice(2)], { cwd: fileURLToPath(new URL('..', import.meta.url)), stdio: 'inherit' })
process.exit(status ?? 1)
