import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const packagesFolder = fileURLToPath(new URL('./packages', import.meta.url))

export default defineConfig({
  resolve: {
    alias: [{ find: /^@fescuespoke\/([a-z]+)$/, replacement: `${packagesFolder}/$1/src/index.ts` }]
  },
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
    minWorkers: 1
  }
})
