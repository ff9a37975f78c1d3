import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { OperatorClient, type OperatorError, type OperatorErrorKind } from '../operator/OperatorClient.js'

/** Longest wait for one instance in milliseconds, unless told otherwise. */
const DEFAULT_TIMEOUT_MS = 2000

/** Options of all commands that ask instances. */
export const CONNECTION_ARGS = {
  instance: { type: 'string', description: 'Base URL of one instance\'s operator interface', valueHint: 'url' },
  'timeout-ms': { type: 'string', description: 'Longest wait for one instance', default: String(DEFAULT_TIMEOUT_MS), valueHint: 'ms' },
  json: { type: 'boolean', description: 'Print JSON for programs' }
} as const

/** Checked options of a command that asks instances. */
export interface Connection {
  /** Base URLs that were given; one unless the fleet is meant. */
  readonly urls: readonly [string, ...string[]]
  readonly createClient: (url: string) => OperatorClient
}

/** What was given on the command line. */
export interface ConnectionArgs {
  readonly instance?: string
  readonly fleet?: string
  readonly 'timeout-ms': string
}

/** Thrown when a command is used wrongly; the text says how. */
export class WrongUseError extends Error {}

/**
 * Checks the options that say which instance to ask.
 * @param context - What commands work with.
 * @param args - What was given.
 */
export function checkConnection (context: CliContext, args: ConnectionArgs): Connection {
  const { clock, dispatcher } = context
  const timeoutMs = Number(args['timeout-ms'])
  if (!Number.isInteger(timeoutMs) || timeoutMs <= 0) throw new WrongUseError(`--timeout-ms: got ${args['timeout-ms']}, allowed is a whole number above 0`)
  const url = args.instance ?? args.fleet
  if (url === undefined) throw new WrongUseError('say which instance to ask, for instance --instance http://127.0.0.1:7002')
  if (args.instance !== undefined && args.fleet !== undefined) throw new WrongUseError('--instance and --fleet exclude one another')
  const createClient = (base: string): OperatorClient => OperatorClient.create({ url: base, clock, dispatcher, timeoutMs })
  const [first = '', ...others] = args.instance === undefined ? url.split(',') : [url]
  return { urls: [checkUrl(first), ...others.map(checkUrl)], createClient }
}

/**
 * Prints why an instance gave no answer and returns the exit status for it.
 * @param context - What commands work with.
 * @param url - Base URL of the instance.
 * @param error - What went wrong.
 */
export function printFailure (context: CliContext, url: string, error: OperatorError): ExitStatus {
  context.printError(`${url}: ${error.kind}: ${error.detail}`)
  return FAILURE_STATUSES[error.kind]
}

const FAILURE_STATUSES: Record<OperatorErrorKind, ExitStatus> = {
  unreachable: 'unreachable',
  notFound: 'problems',
  refused: 'unreachable',
  malformed: 'unreachable'
}

function checkUrl (text: string): string {
  const url = URL.canParse(text) ? new URL(text) : undefined
  if (url?.protocol !== 'http:' && url?.protocol !== 'https:') throw new WrongUseError(`got ${JSON.stringify(text)}, allowed is a base URL like http://127.0.0.1:7002`)
  return url.origin
}
