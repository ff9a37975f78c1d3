// Generates types and schema constants from packages/schema/schemas, and the settings reference in docs.
import { readFileSync, writeFileSync, mkdirSync, existsSync } from 'node:fs'
import { createRequire } from 'node:module'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { load } from 'js-yaml'
import { compile } from 'json-schema-to-typescript'

const root = fileURLToPath(new URL('..', import.meta.url))
const schemaDirectory = join(root, 'packages/schema/schemas')
const outputDirectory = join(root, 'packages/schema/src/generated')
const schemaNames = ['caller', 'platform', 'peer', 'records1', 'records2', 'settings', 'operator']
const requireFromSchema = createRequire(join(root, 'packages/schema/package.json'))
const { Ajv } = requireFromSchema('ajv')
const { default: createStandaloneCode } = requireFromSchema('ajv/dist/standalone')
const isCheckOnly = process.argv.includes('--check')

function readSchema (name) {
  return load(readFileSync(join(schemaDirectory, `${name}.yaml`), 'utf8'))
}

function getDescription (name, definition) {
  return definition.description ?? `Data of ${name}.`
}

/** Marks properties with a default as required, because validation fills them in. */
function markDefaultedPropertiesRequired (definitions) {
  for (const definition of Object.values(definitions)) {
    const defaulted = Object.entries(definition.properties ?? {}).filter(([, property]) => property.default !== undefined)
    definition.required = [...new Set([...(definition.required ?? []), ...defaulted.map(([key]) => key)])]
  }
}

async function generateModule (name, schema) {
  const definitions = schema.definitions
  for (const [key, definition] of Object.entries(definitions)) definition.description = getDescription(key, definition)
  const references = Object.keys(definitions).map(key => ({ $ref: `#/definitions/${key}` }))
  const union = definitions[schema.title] ? { $ref: `#/definitions/${schema.title}` } : { oneOf: references }
  const title = definitions[schema.title] ? `${schema.title}Document` : schema.title
  const rootSchema = { title, description: schema.description, definitions, ...union }
  const typeSchema = structuredClone(rootSchema)
  if (name === 'settings') markDefaultedPropertiesRequired(typeSchema.definitions)
  const types = await compile(typeSchema, title, {
    bannerComment: `/* Generated from schemas/${name}.yaml by scripts/generate.mjs. */`,
    style: { semi: false, singleQuote: true, printWidth: 120 },
    unreachableDefinitions: true,
    additionalProperties: false
  })
  const constant = `/** Schema of ${schema.title}: ${schema.description} */\nexport const ${name}Schema = ${JSON.stringify({ $id: name, definitions }, null, 2)}\n`
  return `${types}\n${constant}`
}

function removeDescriptions (schema) {
  return JSON.parse(JSON.stringify(schema, (key, value) => key === 'description' && typeof value === 'string' ? undefined : value))
}

/** Generates a check for each type of message between instances, so that no instance compiles the schema when it starts. */
function generatePeerChecks ({ definitions }) {
  const types = Object.entries(definitions).map(([name, definition]) => [definition.properties?.type?.const, name]).filter(([type]) => type !== undefined)
  const ajv = new Ajv({ validateSchema: false, strict: false, messages: false, code: { source: true, esm: true, lines: true } })
  ajv.addSchema({ $id: 'peer', definitions: removeDescriptions(definitions) }, 'peer')
  const code = createStandaloneCode(ajv, Object.fromEntries(types.map(([type, name]) => [type, `peer#/definitions/${name}`])))
  const lengthFunction = '/** Counts the characters of a text, as the schema does. */\nconst countCharacters = text => [...text].length\n'
  return `// @ts-nocheck\n/* Generated from schemas/peer.yaml by scripts/generate.mjs. */\n${lengthFunction}${code.replaceAll('require("ajv/dist/runtime/ucs2length").default', 'countCharacters').replace('"use strict";', '')}\n`
}

function formatAllowedValues (property) {
  if (property.enum) return property.enum.join(', ')
  if (property.pattern) return `string matching \`${property.pattern}\``
  const minimum = property.minimum === undefined ? '' : ` from ${property.minimum}`
  const maximum = property.maximum === undefined ? '' : ` to ${property.maximum}`
  return `${property.type}${minimum}${maximum}`
}

function generateSettingsSection (key, definition) {
  const required = new Set(definition.required ?? [])
  const rows = Object.entries(definition.properties).map(([name, property]) =>
    `| \`${name}\` | ${formatAllowedValues(property)} | ${required.has(name) ? 'required' : (property.default ?? '')} | ${property.description ?? ''} |`)
  return [`## [${key}]`, '', definition.description, '', '| key | allowed values | default | description |', '| --- | --- | --- | --- |', ...rows, ''].join('\n')
}

function generateSettingsPage (schema) {
  const sections = Object.entries(schema.definitions.Settings.properties)
    .map(([key, property]) => generateSettingsSection(key, schema.definitions[property.$ref.split('/').at(-1)]))
  return ['# Settings', '', 'Generated from `packages/schema/schemas/settings.yaml`. Values of keys that end in `Ms` are in milliseconds.', '', ...sections].join('\n')
}

function writeOrCheck (path, text) {
  const currentText = existsSync(path) ? readFileSync(path, 'utf8') : ''
  if (currentText === text) return true
  if (isCheckOnly) {
    console.error(`out of date: ${path.slice(root.length)}; run npm run generate`)
    return false
  }
  writeFileSync(path, text)
  return true
}

mkdirSync(outputDirectory, { recursive: true })
let isUpToDate = true
for (const name of schemaNames) {
  const text = await generateModule(name, readSchema(name))
  isUpToDate = writeOrCheck(join(outputDirectory, `${name}.generated.ts`), text) && isUpToDate
}
isUpToDate = writeOrCheck(join(outputDirectory, 'peerChecks.generated.ts'), generatePeerChecks(readSchema('peer'))) && isUpToDate
isUpToDate = writeOrCheck(join(root, 'docs/settings.md'), generateSettingsPage(readSchema('settings'))) && isUpToDate
process.exitCode = isUpToDate ? 0 : 1
