// Bundles the platform process and the soak test into target/ and runs the soak test with the given arguments.
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { bundleProgram } from './bundleProgram.mjs'
import './bundle.mjs'

await bundleProgram('platform/soak/main.ts', 'target/soak.cjs')
const { status } = spawnSync(process.execPath, ['target/soak.cjs', ...process.argv.slice(2)], { cwd: fileURLToPath(new URL('..', import.meta.url)), stdio: 'inherit' })
process.exit(status ?? 1)
