import { request as requestHttp, type IncomingMessage } from 'node:http'
import { connect, type Socket } from 'node:net'
import { BufferBudget, type Clock, readLimitedText, type Target } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type CallError, type CallOptions, type CallReply } from './TargetClient.js'

/** Maximum size of a reply, in bytes. */
const MAX_REPLY_BYTES = 4_194_304

/** Limits of a call. */
export interface CallLimits {
  readonly clock: Clock
  /** Maximum time to establish a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Bounds the bytes that the process buffers; by default those of each call alone. */
  readonly bufferBudget?: BufferBudget
}

/**
 * Sends a call once, on a new connection. The connection is established before the first byte is sent, so a connection
 * failure proves that nothing was sent.
 * @param target - The target.
 * @param options - Options of the call.
 * @param limits - Limits of the call.
 */
export async function sendCallOnce (target: Target, options: CallOptions, limits: CallLimits): Promise<Result<CallReply, CallError>> {
  const url = new URL('/v1/calls', target.url)
  const socket = await openSocket(url, limits)
  if (socket === undefined) return Result.err('notSent')
  if (!options.canSend()) {
    socket.destroy()
    return Result.err('withheld')
  }
  const cancelTimer = limits.clock.startTimer(options.timeoutMs, () => socket.destroy())
  try {
    const response = await sendHttpRequest(url, socket, options)
    return Result.ok({ status: response.statusCode ?? 0, body: await readReply(response, target, limits) })
  } catch {
    return Result.err('replyLost')
  } finally {
    cancelTimer()
    socket.destroy()
  }
}

async function openSocket (url: URL, limits: CallLimits): Promise<Socket | undefined> {
  return await new Promise(resolve => {
    const socket = connect({ host: url.hostname, port: Number(url.port === '' ? 80 : url.port) })
    const failConnect = (): void => {
      cancelTimer()
      socket.destroy()
      resolve(undefined)
    }
    const cancelTimer = limits.clock.startTimer(limits.connectTimeoutMs, failConnect)
    socket.on('error', failConnect)
    socket.once('connect', () => {
      cancelTimer()
      resolve(socket)
    })
  })
}

async function sendHttpRequest (url: URL, socket: Socket, options: CallOptions): Promise<IncomingMessage> {
  return await new Promise((resolve, reject) => {
    const request = requestHttp(url, {
      method: 'POST',
      agent: false,
      createConnection: () => socket,
      headers: {
        'content-type': 'application/json',
        'fescuespoke-request': options.request,
        'fescuespoke-remaining-ms': String(Math.max(0, Math.round(options.remainingMs)))
      }
    })
    request.on('response', resolve)
    request.on('error', reject)
    request.end(JSON.stringify(options.body ?? null))
  })
}

async function readReply (response: IncomingMessage, { url }: Target, { bufferBudget = BufferBudget.create() }: CallLimits): Promise<unknown> {
  const text = await readLimitedText(response, { maxBytes: MAX_REPLY_BYTES, bufferBudget, owner: { kind: 'targetAnswer', peer: url } })
  if (text.isErr) throw new Error('the reply is too long')
  if (!response.complete || !statesItsEnd(response)) throw new Error('the connection closed before the reply was complete')
  return JSON.parse(text.value)
}

/** Returns whether a reply states its end; otherwise it ends with its connection, and a reset looks the same as a regular close. */
function statesItsEnd ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || /\bchunked\b/i.test(headers['transfer-encoding'] ?? '')
}
