// Runs all tests except those that KNOWN-RED.txt lists as `npx vitest run FILE -t "NAME"`.
import { spawnSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const ENTRY = /^npx vitest run \S+ -t "([^"]+)"/gm

const root = fileURLToPath(new URL('..', import.meta.url))
const names = [...readFileSync(`${root}KNOWN-RED.txt`, 'utf8').matchAll(ENTRY)].map(([, name]) => name)
const patternArguments = names.length === 0 ? [] : ['-t', `^(?!(?:${names.map(escapeRegExp).join('|')})$)`]
for (const name of names) console.log(`not run, listed in KNOWN-RED.txt: ${name}`)
const { status } = spawnSync('npx', ['vitest', 'run', ...patternArguments, ...process.argv.slice(2)], { cwd: root, stdio: 'inherit' })
process.exit(status ?? 1)

function escapeRegExp (text) {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')
}
