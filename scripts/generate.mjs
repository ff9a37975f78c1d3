// Generates types and schema constants from packages/schema/schemas, and the settings reference of the docs.
import { readFileSync, writeFileSync, mkdirSync, existsSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { load } from 'js-yaml'
import { compile } from 'json-schema-to-typescript'

const root = fileURLToPath(new URL('..', import.meta.url))
const schemaFolder = join(root, 'packages/schema/schemas')
const outputFolder = join(root, 'packages/schema/src/generated')
const names = ['caller', 'platform', 'peer', 'records1', 'records2', 'settings', 'operator']
const checkOnly = process.argv.includes('--check')

function readSchema (name) {
  return load(readFileSync(join(schemaFolder, `${name}.yaml`), 'utf8'))
}

function describeFallback (name, definition) {
  return definition.description ?? `Data of ${name}.`
}

/** Marks properties with a default as required, since validation has filled them in. */
function markFilledProperties (definitions) {
  for (const definition of Object.values(definitions)) {
    const filled = Object.entries(definition.properties ?? {}).filter(([, property]) => property.default !== undefined)
    definition.required = [...new Set([...(definition.required ?? []), ...filled.map(([key]) => key)])]
  }
}

async function generateModule (name, schema) {
  const definitions = schema.definitions
  for (const [key, definition] of Object.entries(definitions)) definition.description = describeFallback(key, definition)
  const references = Object.keys(definitions).map(key => ({ $ref: `#/definitions/${key}` }))
  const union = definitions[schema.title] ? { $ref: `#/definitions/${schema.title}` } : { oneOf: references }
  const title = definitions[schema.title] ? `${schema.title}Document` : schema.title
  const wrapper = { title, description: schema.description, definitions, ...union }
  const typed = structuredClone(wrapper)
  if (name === 'settings') markFilledProperties(typed.definitions)
  const types = await compile(typed, title, {
    bannerComment: `/* Generated from schemas/${name}.yaml by scripts/generate.mjs. */`,
    style: { semi: false, singleQuote: true, printWidth: 120 },
    unreachableDefinitions: true,
    additionalProperties: false
  })
  const constant = `/** Schema of ${schema.title}: ${schema.description} */\nexport const ${name}Schema = ${JSON.stringify({ $id: name, definitions }, null, 2)}\n`
  return `${types}\n${constant}`
}

function describeAllowed (property) {
  if (property.enum) return property.enum.join(', ')
  if (property.pattern) return `text like \`${property.pattern}\``
  const low = property.minimum === undefined ? '' : ` from ${property.minimum}`
  const high = property.maximum === undefined ? '' : ` to ${property.maximum}`
  return `${property.type}${low}${high}`
}

function generateSettingsSection (key, definition) {
  const required = new Set(definition.required ?? [])
  const rows = Object.entries(definition.properties).map(([name, property]) =>
    `| \`${name}\` | ${describeAllowed(property)} | ${required.has(name) ? 'required' : (property.default ?? '')} | ${property.description ?? ''} |`)
  return [`## [${key}]`, '', definition.description, '', '| key | allowed | default | meaning |', '| --- | --- | --- | --- |', ...rows, ''].join('\n')
}

function generateSettingsPage (schema) {
  const sections = Object.entries(schema.definitions.Settings.properties)
    .map(([key, property]) => generateSettingsSection(key, schema.definitions[property.$ref.split('/').at(-1)]))
  return ['# Settings', '', 'Generated from `packages/schema/schemas/settings.yaml`. Keys that end in `Ms` are milliseconds.', '', ...sections].join('\n')
}

function writeOrCompare (path, text) {
  const current = existsSync(path) ? readFileSync(path, 'utf8') : ''
  if (current === text) return true
  if (checkOnly) {
    console.error(`not current: ${path.slice(root.length)}; run npm run generate`)
    return false
  }
  writeFileSync(path, text)
  return true
}

mkdirSync(outputFolder, { recursive: true })
let current = true
for (const name of names) {
  const text = await generateModule(name, readSchema(name))
  current = writeOrCompare(join(outputFolder, `${name}.generated.ts`), text) && current
}
current = writeOrCompare(join(root, 'docs/settings.md'), generateSettingsPage(readSchema('settings'))) && current
process.exitCode = current ? 0 : 1
