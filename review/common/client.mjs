// Stand-in of a client: one attempt on one channel, with what was sent and what came back.
import { Agent, request } from 'node:http'

let attempts = 0

/** Returns an id that no other attempt has. */
export function createAttemptId () {
  return (++attempts).toString(16).padStart(16, '0')
}

/** Creates channels that are kept for many requests. */
export function createChannels () {
  return new Agent({ keepAlive: true, maxSockets: Infinity })
}

/** Asks a directory for the addresses to use; undefined when it does not answer. */
export async function resolve (directory, { name, region, zone }) {
  try {
    const answer = await fetch(`http://${directory}/fescuespoke/resolve?name=${name}&region=${region}&zone=${zone}`, { signal: AbortSignal.timeout(1000) })
    return answer.status === 200 ? (await answer.json()).addresses : undefined
  } catch {
    return undefined
  }
}

/**
 * Sends one attempt and waits for the end of its answer.
 * @returns The status, headers and body; `isComplete` tells whether the answer came to its end; `error` stands for a channel without an answer.
 */
export async function send ({ address, method = 'POST', path, headers, body = '', channels, limitMs, onHead }) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const outgoing = request({ host, port, method, path, headers: { ...headers, ...body.length > 0 ? { 'content-length': Buffer.byteLength(body) } : {} }, agent: channels })
    const finish = outcome => {
      clearTimeout(timer)
      resolve(outcome)
    }
    const timer = setTimeout(() => {
      finish({ error: 'gave up' })
      outgoing.destroy()
    }, limitMs)
    outgoing.on('error', error => finish({ error: error.code ?? error.message }))
    outgoing.on('response', incoming => {
      const parts = []
      onHead?.(incoming)
      incoming.on('data', part => parts.push(part))
      incoming.on('error', () => undefined)
      incoming.on('close', () => finish({ status: incoming.statusCode, headers: incoming.headers, body: Buffer.concat(parts).toString(), isComplete: incoming.complete }))
    })
    outgoing.end(body)
  })
}
