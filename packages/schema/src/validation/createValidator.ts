import { Ajv, type ErrorObject } from 'ajv'
import { Result } from 'true-myth'
import { callerSchema, type Problem } from '../generated/caller.generated.js'
import { operatorSchema } from '../generated/operator.generated.js'
import { peerSchema } from '../generated/peer.generated.js'
import { platformSchema } from '../generated/platform.generated.js'
import { records1Schema } from '../generated/records1.generated.js'
import { records2Schema } from '../generated/records2.generated.js'
import { settingsSchema } from '../generated/settings.generated.js'

/** Name of a schema document. */
export type SchemaName = 'caller' | 'operator' | 'peer' | 'platform' | 'records1' | 'records2' | 'settings'

/** Validates a value. Returns the typed value, or the problems found in it. */
export type Validator<T> = (value: unknown) => Result<T, Problem[]>

const SCHEMAS: Record<SchemaName, object> = {
  caller: callerSchema,
  operator: operatorSchema,
  peer: peerSchema,
  platform: platformSchema,
  records1: records1Schema,
  records2: records2Schema,
  settings: settingsSchema
}

/** Longer values are truncated to this length in a problem. */
const MAX_VALUE_CHARACTERS = 80

/** Schemas whose values arrive as strings and are converted to the types of the schema. */
const COERCED_SCHEMAS: ReadonlySet<SchemaName> = new Set(['settings'])

/** Schemas whose defaults are filled into values. */
const DEFAULTED_SCHEMAS: ReadonlySet<SchemaName> = new Set(['settings', 'records1', 'records2'])

/** Schemas of messages between programs. Validation stops at the first error, so that a long invalid message costs little. */
const FIRST_ERROR_SCHEMAS: ReadonlySet<SchemaName> = new Set(['peer'])

const compilers = new Map<SchemaName, Ajv>()

/**
 * Creates a validator for one definition of a schema. The validator can convert the value in place and fill in defaults.
 * @param schema - Name of the schema document.
 * @param definition - Name of the definition in the schema.
 */
export function createValidator<T> (schema: SchemaName, definition: string): Validator<T> {
  const validate = getCompiler(schema).getSchema(`${schema}#/definitions/${definition}`)
  if (validate === undefined) throw new Error(`schema ${schema} has no definition ${definition}`)
  return value => {
    if (validate(value) === true) return Result.ok(value as T)
    return Result.err((validate.errors ?? []).map(error => createProblem(error, value)))
  }
}

/**
 * Formats a problem as one human-readable line.
 * @param problem - Problem to format.
 */
export function formatProblem (problem: Problem): string {
  return `${problem.field}: got ${problem.value}, allowed is ${problem.allowed}`
}

function getCompiler (schema: SchemaName): Ajv {
  const cached = compilers.get(schema)
  if (cached !== undefined) return cached
  const compiler = new Ajv({
    validateSchema: false,
    allErrors: !FIRST_ERROR_SCHEMAS.has(schema),
    strict: false,
    verbose: true,
    coerceTypes: COERCED_SCHEMAS.has(schema),
    useDefaults: DEFAULTED_SCHEMAS.has(schema)
  })
  compiler.addSchema(SCHEMAS[schema], schema)
  compilers.set(schema, compiler)
  return compiler
}

function createProblem (error: ErrorObject, root: unknown): Problem {
  const create = PROBLEM_FACTORIES[error.keyword] ?? createOtherProblem
  const field = formatFieldPath(error.instancePath)
  return create(error, field, root)
}

type ProblemFactory = (error: ErrorObject, field: string, root: unknown) => Problem

const PROBLEM_FACTORIES: Record<string, ProblemFactory> = {
  required: (error, field) => ({
    field: joinFieldPath(field, String(error.params.missingProperty)),
    value: 'nothing',
    allowed: 'a value is required'
  }),
  additionalProperties: (error, field) => ({
    field: joinFieldPath(field, String(error.params.additionalProperty)),
    value: formatValue((error.data as Record<string, unknown>)[error.params.additionalProperty]),
    allowed: `no such field; the fields are ${Object.keys(error.parentSchema?.properties ?? {}).join(', ')}`
  }),
  enum: (error, field) => ({ field, value: formatValue(error.data), allowed: (error.params.allowedValues as unknown[]).join(', ') }),
  minLength: (error, field) => ({ field, value: formatValue(error.data), allowed: `at least ${error.params.limit} characters` }),
  maxLength: (error, field) => ({ field, value: formatValue(error.data), allowed: `at most ${error.params.limit} characters` }),
  const: (error, field) => ({ field, value: formatValue(error.data), allowed: String(error.params.allowedValue) })
}

function createOtherProblem (error: ErrorObject, field: string): Problem {
  return { field, value: formatValue(error.data), allowed: error.message ?? error.keyword }
}

function formatFieldPath (path: string): string {
  return path.slice(1).replaceAll('/', '.')
}

function joinFieldPath (field: string, name: string): string {
  return field === '' ? name : `${field}.${name}`
}

function formatValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > MAX_VALUE_CHARACTERS ? `${text.slice(0, MAX_VALUE_CHARACTERS)}…` : text
}
