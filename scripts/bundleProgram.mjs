// Bundles one program, from the sources of all packages.
import { build } from 'esbuild'
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'

const root = fileURLToPath(new URL('..', import.meta.url))
const packages = readdirSync(join(root, 'packages'))

export async function bundleProgram (entry, outfile) {
  await build({
    absWorkingDir: root,
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    alias: Object.fromEntries(packages.map(name => [`@fescuespoke/${name}`, join(root, 'packages', name, 'src/index.ts')])),
    external: ['cbor-extract', 'node-gyp-build-optional-packages'],
    logLevel: 'warning'
  })
}
