import { type CliContext } from '../CliContext.js'
import { type ExitStatus } from '../ExitStatus.js'
import { OperatorClient, type OperatorError, type OperatorErrorKind } from '../operator/OperatorClient.js'

/** Default maximum time to wait for one instance, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 2000

/** Arguments of all commands that query instances. */
export const CONNECTION_ARGS = {
  instance: { type: 'string', description: 'Base URL of one instance\'s operator interface', valueHint: 'url' },
  'timeout-ms': { type: 'string', description: 'Maximum time to wait for one instance', default: String(DEFAULT_TIMEOUT_MS), valueHint: 'ms' },
  json: { type: 'boolean', description: 'Print machine-readable JSON' }
} as const

/** Validated connection options of a command that queries instances. */
export interface ConnectionOptions {
  /** Base URLs of the operator interfaces: one with `--instance`, one or more with `--fleet`. */
  readonly urls: readonly [string, ...string[]]
  readonly createClient: (url: string) => OperatorClient
}

/** Connection arguments as parsed from the command line, not yet validated. */
export interface ConnectionArgs {
  readonly instance?: string
  readonly fleet?: string
  readonly 'timeout-ms': string
}

/** Thrown when the arguments of a command are invalid. The message is printed to the operator. */
export class UsageError extends Error {}

/**
 * Validates the arguments that select the instances to query.
 * @param context - Dependencies of the command.
 * @param args - Arguments of the command.
 */
export function parseConnectionArgs (context: CliContext, args: ConnectionArgs): ConnectionOptions {
  const { clock, dispatcher } = context
  const timeoutMs = Number(args['timeout-ms'])
  if (!Number.isInteger(timeoutMs) || timeoutMs <= 0) throw new UsageError(`--timeout-ms: got ${args['timeout-ms']}, expected a positive integer`)
  const urlArg = args.instance ?? args.fleet
  if (urlArg === undefined) throw new UsageError('specify an instance, for example --instance http://127.0.0.1:7002')
  if (args.instance !== undefined && args.fleet !== undefined) throw new UsageError('--instance and --fleet are mutually exclusive')
  const createClient = (baseUrl: string): OperatorClient => OperatorClient.create({ url: baseUrl, clock, dispatcher, timeoutMs })
  const [firstUrl = '', ...otherUrls] = args.instance === undefined ? urlArg.split(',') : [urlArg]
  return { urls: [parseBaseUrl(firstUrl), ...otherUrls.map(parseBaseUrl)], createClient }
}

/**
 * Prints why a request to an instance failed and returns the matching exit status.
 * @param context - Dependencies of the command.
 * @param url - Base URL of the operator interface of the instance.
 * @param error - Error of the request.
 */
export function printOperatorError (context: CliContext, url: string, error: OperatorError): ExitStatus {
  context.printError(`${url}: ${error.kind}: ${error.detail}`)
  return EXIT_STATUSES_BY_ERROR_KIND[error.kind]
}

const EXIT_STATUSES_BY_ERROR_KIND: Record<OperatorErrorKind, ExitStatus> = {
  unreachable: 'unreachable',
  notFound: 'problems',
  refused: 'unreachable',
  malformed: 'unreachable'
}

function parseBaseUrl (text: string): string {
  const url = URL.canParse(text) ? new URL(text) : undefined
  if (url?.protocol !== 'http:' && url?.protocol !== 'https:') throw new UsageError(`got ${JSON.stringify(text)}, expected a base URL such as http://127.0.0.1:7002`)
  return url.origin
}
