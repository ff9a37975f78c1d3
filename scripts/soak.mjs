// Bundles the process for the platform and the soak into target/, and runs the soak with the arguments given.
import { build } from 'esbuild'
import { spawnSync } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'
import './bundle.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const packages = readdirSync(join(root, 'packages'))

await build({
  absWorkingDir: root,
  entryPoints: ['platform/soak/main.ts'],
  outfile: 'target/soak.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias: Object.fromEntries(packages.map(name => [`@fescuespoke/${name}`, join(root, 'packages', name, 'src/index.ts')])),
  external: ['cbor-extract', 'node-gyp-build-optional-packages'],
  logLevel: 'warning'
})
const { status } = spawnSync(process.execPath, [join(root, 'target/soak.cjs'), ...process.argv.slice(2)], { cwd: root, stdio: 'inherit' })
process.exit(status ?? 1)
