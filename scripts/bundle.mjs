// Bundles the platform process into target/.
import { bundleProgram } from './bundleProgram.mjs'

await bundleProgram('platform/src/main.ts', 'target/fescuespoke-platform.cjs')
