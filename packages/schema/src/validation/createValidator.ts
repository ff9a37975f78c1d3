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

/** Checks a value; the value is returned with its type, or every mistake in it. */
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

/** Longest text of a value that is repeated in a problem, in characters. */
const MAX_SHOWN_CHARACTERS = 80

/** Schemas whose values arrive as text and are filled with defaults. */
const COERCED_SCHEMAS: ReadonlySet<SchemaName> = new Set(['settings'])
const DEFAULTED_SCHEMAS: ReadonlySet<SchemaName> = new Set(['settings', 'records1', 'records2'])

/** Schemas of messages between programs: only the first mistake is found, so that a long bad message costs little. */
const FIRST_MISTAKE_SCHEMAS: ReadonlySet<SchemaName> = new Set(['peer'])

const compilers = new Map<SchemaName, Ajv>()

/**
 * Creates a validator for one definition of a schema. It may fill defaults into the value.
 * @param schema - Name of the schema document.
 * @param definition - Name of the definition within it.
 */
export function createValidator<T> (schema: SchemaName, definition: string): Validator<T> {
  const validate = getCompiler(schema).getSchema(`${schema}#/definitions/${definition}`)
  if (validate === undefined) throw new Error(`schema ${schema} has no definition ${definition}`)
  return value => {
    if (validate(value) === true) return Result.ok(value as T)
    return Result.err((validate.errors ?? []).map(error => describeProblem(error, value)))
  }
}

/**
 * Formats a problem as one line for people.
 * @param problem - The problem.
 */
export function formatProblem (problem: Problem): string {
  return `${problem.field}: got ${problem.value}, allowed is ${problem.allowed}`
}

function getCompiler (schema: SchemaName): Ajv {
  const known = compilers.get(schema)
  if (known !== undefined) return known
  const compiler = new Ajv({
    validateSchema: false,
    allErrors: !FIRST_MISTAKE_SCHEMAS.has(schema),
    strict: false,
    verbose: true,
    coerceTypes: COERCED_SCHEMAS.has(schema),
    useDefaults: DEFAULTED_SCHEMAS.has(schema)
  })
  compiler.addSchema(SCHEMAS[schema], schema)
  compilers.set(schema, compiler)
  return compiler
}

function describeProblem (error: ErrorObject, root: unknown): Problem {
  const describe = PROBLEM_DESCRIPTIONS[error.keyword] ?? describeOther
  const field = formatField(error.instancePath)
  return describe(error, field, root)
}

type ProblemDescription = (error: ErrorObject, field: string, root: unknown) => Problem

const PROBLEM_DESCRIPTIONS: Record<string, ProblemDescription> = {
  required: (error, field) => ({
    field: joinField(field, String(error.params.missingProperty)),
    value: 'nothing',
    allowed: 'a value is required'
  }),
  additionalProperties: (error, field) => ({
    field: joinField(field, String(error.params.additionalProperty)),
    value: showValue((error.data as Record<string, unknown>)[error.params.additionalProperty]),
    allowed: `no such field; the fields are ${Object.keys(error.parentSchema?.properties ?? {}).join(', ')}`
  }),
  enum: (error, field) => ({ field, value: showValue(error.data), allowed: (error.params.allowedValues as unknown[]).join(', ') }),
  minLength: (error, field) => ({ field, value: showValue(error.data), allowed: `at least ${error.params.limit} characters` }),
  maxLength: (error, field) => ({ field, value: showValue(error.data), allowed: `at most ${error.params.limit} characters` }),
  const: (error, field) => ({ field, value: showValue(error.data), allowed: String(error.params.allowedValue) })
}

function describeOther (error: ErrorObject, field: string): Problem {
  return { field, value: showValue(error.data), allowed: error.message ?? error.keyword }
}

function formatField (path: string): string {
  return path.slice(1).replaceAll('/', '.')
}

function joinField (field: string, name: string): string {
  return field === '' ? name : `${field}.${name}`
}

function showValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…` : text
}
