// Bundles a program and the sources of all packages that it uses into one file.
import { build } from 'esbuild'
import { readdirSync } from 'node:fs'
import { basename, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const packageNames = readdirSync(join(root, 'packages'))
const partsDirectory = join(root, 'scripts/bundled')
const partNames = readdirSync(partsDirectory).map(file => basename(file, '.cjs'))

/** Replaces libraries by the parts of them that the program uses, since loading the rest delays each start. */
const libraryParts = {
  name: 'library-parts',
  setup ({ onResolve }) {
    onResolve({ filter: new RegExp(`^(${partNames.join('|')})$`) }, ({ path }) => ({ path: join(partsDirectory, `${path}.cjs`) }))
  }
}

/**
 * Bundles a program.
 * @returns The paths of the source files of which the bundle contains code.
 */
export async function bundleProgram (entry, outfile) {
  const { metafile } = await build({
    absWorkingDir: root,
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    alias: Object.fromEntries(packageNames.map(name => [`@fescuespoke/${name}`, join(root, 'packages', name, 'src/index.ts')])),
    plugins: [libraryParts],
    external: ['cbor-extract', 'node-gyp-build-optional-packages'],
    metafile: true,
    logLevel: 'warning'
  })
  const inputs = Object.values(metafile.outputs).flatMap(output => Object.entries(output.inputs))
  return { inputs: inputs.filter(([, { bytesInOutput }]) => bytesInOutput > 0).map(([path]) => path) }
}
