import { type IncomingMessage } from 'node:http'
import { type ErrorBody, type Validator } from '@fescuespoke/schema'
import { Result } from 'true-myth'

/** Error response for a body that was rejected. */
export interface BodyError {
  readonly status: 400 | 413
  readonly body: ErrorBody
}

/** A validated body and its text. */
export interface CheckedBody<T> {
  readonly content: T
  readonly text: string
}

/**
 * Reads and validates a JSON body.
 * @param incoming - The request.
 * @param check - Validator of the parsed value.
 * @param maxBytes - Maximum size in bytes.
 * @returns The body, or the error response.
 */
export async function readBody<T> (incoming: IncomingMessage, check: Validator<T>, maxBytes: number): Promise<Result<CheckedBody<T>, BodyError>> {
  const text = await readText(incoming, maxBytes)
  if (text === undefined) return Result.err(createTooLargeError(maxBytes))
  const parsed = parseJson(text)
  if (parsed.isErr) return Result.err(createNotJsonError(text))
  return check(parsed.value)
    .map(content => ({ content, text }))
    .mapErr(problems => ({ status: 400, body: { error: 'invalidInput', message: 'the body does not match its schema', problems } }))
}

async function readText (incoming: IncomingMessage, maxBytes: number): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size <= maxBytes) chunks.push(chunk)
    else chunks.length = 0
  }
  return size > maxBytes ? undefined : Buffer.concat(chunks).toString('utf8')
}

function parseJson (text: string): Result<unknown, 'notJson'> {
  try {
    return Result.ok(JSON.parse(text))
  } catch {
    return Result.err('notJson')
  }
}

function createTooLargeError (maxBytes: number): BodyError {
  return { status: 413, body: { error: 'tooLarge', message: `the body has more than ${maxBytes} bytes` } }
}

function createNotJsonError (text: string): BodyError {
  const problem = { field: 'body', value: JSON.stringify(text.slice(0, 80)), allowed: 'JSON' }
  return { status: 400, body: { error: 'invalidInput', message: 'the body is not JSON', problems: [problem] } }
}
