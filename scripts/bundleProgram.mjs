// Bundles a program and the sources of all packages that it uses into one file.
import { build } from 'esbuild'
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'

const root = fileURLToPath(new URL('..', import.meta.url))
const packageNames = readdirSync(join(root, 'packages'))

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
    alias: Object.fromEntries(packageNames.map(name => [`@fescuespoke/${name}`, join(root, 'packages', name, 'src/index.ts')])),
    external: ['cbor-extract', 'node-gyp-build-optional-packages'],
    logLevel: 'warning'
  })
}
