import { once } from 'node:events'
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { PassThrough, Readable } from 'node:stream'
import { text } from 'node:stream/consumers'
import { createCallerRoutes } from '@fescuespoke/daemon'
import { type StreamEvent } from '@fescuespoke/schema'
import { findRoute } from '../../../daemon/src/http/HttpRoute.js'
import { type OwnerDriver } from './OwnerDriver.js'

/** The process that receives a copy. */
export interface ReceivingProcess {
  readonly instance: string
  readonly incarnation: string
  /** Driver of the requests and leases of the process. */
  readonly owner: OwnerDriver
}

/** Submits a copy of a request through the HTTP routes of a process, and returns the events that the caller reads. */
export async function submitCopy (process: ReceivingProcess, lease: string, service: string): Promise<StreamEvent[]> {
  const path = `/v1/requests/${encodeURIComponent(lease)}/1`
  const { route, pathParameters } = findRoute(createRoutes(process), 'PUT', path) as NonNullable<ReturnType<typeof findRoute>>
  const incoming = Object.assign(Readable.from([Buffer.from(JSON.stringify({ service, prompt: 'p' }))]), { method: 'PUT', url: path, headers: {} })
  const outgoing = Object.assign(new PassThrough(), { writeHead: () => undefined, flushHeaders: () => undefined })
  const body = text(outgoing)
  await route.handle({
    incoming: incoming as unknown as IncomingMessage,
    outgoing: outgoing as unknown as ServerResponse,
    pathParameters,
    query: new URLSearchParams()
  })
  if (!outgoing.closed) await once(outgoing, 'close')
  return (await body).trim().split('\n').map(line => JSON.parse(line) as StreamEvent)
}

function createRoutes ({ instance, incarnation, owner }: ReceivingProcess): ReturnType<typeof createCallerRoutes> {
  return createCallerRoutes({
    instance,
    incarnation,
    clock: owner.clock,
    leases: owner.leases,
    requests: owner.requests,
    resumes: owner.resumes,
    resumeTokenCodec: owner.resumeTokenCodec,
    heartbeatMs: 1000,
    maxBodyBytes: 10_000,
    leaseMs: 1000,
    getPhase: () => 'ready',
    getRevision: () => 1,
    isHandingOver: () => false,
    findInstanceUrl: () => undefined,
    rankAddresses: () => ({ addresses: [], validForMs: 1000, revision: 1 }),
    dispatcher: undefined as never
  })
}
