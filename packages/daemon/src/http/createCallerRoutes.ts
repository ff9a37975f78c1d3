import { type Clock } from '@fescuespoke/common'
import {
  type AddressAnswer, createValidator, type EndEvent, type ErrorBody, type LeaseGrant, type LeaseRequest, type ResumeRequest, type StreamEvent,
  type SubmitRequest
} from '@fescuespoke/schema'
import { type Dispatcher } from 'undici'
import { FORWARDED_HEADER, forwardRequest } from '../forwarding/forwardRequest.js'
import { type LeaseId, parseLeaseToken } from '../leases/LeaseId.js'
import { type Lease, type LeaseRegistry } from '../leases/LeaseRegistry.js'
import { createUnknownEnd, locateLease } from '../leases/locateLease.js'
import { readEvents } from '../requests/readEvents.js'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { type RequestService, type SubmitError } from '../requests/RequestService.js'
import { type ResumeService } from '../resume/ResumeService.js'
import { type ResumeTokenCodec } from '../resume/ResumeTokenCodec.js'
import { type HttpRoute, type RouteContext } from './HttpRoute.js'
import { readBody } from './readBody.js'
import { sendError, sendEvents, sendJson } from './sendResponse.js'

const MAX_REQUEST_NUMBER = Number.MAX_SAFE_INTEGER

const checkLeaseRequest = createValidator<LeaseRequest>('caller', 'LeaseRequest')
const checkSubmitRequest = createValidator<SubmitRequest>('caller', 'SubmitRequest')
const checkResumeRequest = createValidator<ResumeRequest>('caller', 'ResumeRequest')

/** Options of the routes for callers. */
export interface CallerRoutesOptions {
  readonly instance: string
  readonly incarnation: string
  readonly clock: Clock
  readonly leases: LeaseRegistry
  readonly requests: RequestService
  readonly resumes: ResumeService
  readonly resumeTokenCodec: ResumeTokenCodec
  readonly dispatcher: Dispatcher
  readonly heartbeatMs: number
  readonly maxBodyBytes: number
  readonly leaseMs: number
  /** Returns the lifecycle phase, which decides whether leases and requests are accepted. */
  readonly getPhase: () => 'starting' | 'ready' | 'draining' | 'stopped'
  readonly getRevision: () => number
  readonly isHandingOver: () => boolean
  readonly rankAddresses: (service: string, workspace: string) => AddressAnswer
  /** Returns the base URL of another instance, or `undefined` when it is not known. */
  readonly findInstanceUrl: (instance: string) => string | undefined
}

/** Parsed path of a request. */
interface RequestPath {
  readonly leaseId: LeaseId
  readonly leaseToken: string
  readonly number: number
  readonly offset: number
}

const INVALID_RESUME_TOKEN: ErrorBody = { error: 'forbidden', message: 'the resume token is not one of this fleet' }

const SUBMIT_ERRORS: Record<SubmitError, { readonly status: number, readonly body: ErrorBody }> = {
  conflict: { status: 409, body: { error: 'conflict', message: 'the number was used for another body' } },
  overloaded: { status: 503, body: { error: 'overloaded', message: 'the lease holds too many requests' } }
}

type RequestHandler = (context: RouteContext, path: RequestPath, lease: Lease, bodyText: string | undefined) => Promise<void>

/**
 * Creates the routes of the HTTP interface for callers.
 * @param options - Options of the routes.
 */
export function createCallerRoutes (options: CallerRoutesOptions): HttpRoute[] {
  return [
    { method: 'GET', path: '/v1/addresses', handle: context => handleAddresses(options, context) },
    { method: 'POST', path: '/v1/leases', handle: async context => await grantLease(options, context) },
    { method: 'PUT', path: '/v1/requests/*/*', handle: async context => await handleSubmit(options, context) },
    { method: 'GET', path: '/v1/requests/*/*', handle: async context => await handleAtOwner(options, context, undefined, createAttachHandler(options)) },
    { method: 'DELETE', path: '/v1/requests/*/*', handle: async context => await handleAtOwner(options, context, undefined, createCancelHandler(options)) },
    { method: 'POST', path: '/v1/resumes', handle: async context => await resumeGeneration(options, context) },
    { method: 'DELETE', path: '/v1/resumes/*', handle: async context => await cancelGeneration(options, context) }
  ]
}

function handleAddresses (options: CallerRoutesOptions, { outgoing, query }: RouteContext): void {
  const service = query.get('service') ?? ''
  const workspace = query.get('workspace') ?? ''
  const missing = [['service', service], ['workspace', workspace]].filter(([, value]) => value === '')
  if (missing.length > 0) {
    const problems = missing.map(([field]) => ({ field: field ?? '', value: 'nothing', allowed: 'a value is required' }))
    sendError(outgoing, 400, { error: 'invalidInput', message: 'the query is not complete', problems })
    return
  }
  sendJson(outgoing, 200, options.rankAddresses(service, workspace))
}

async function grantLease (options: CallerRoutesOptions, { incoming, outgoing }: RouteContext): Promise<void> {
  const body = await readBody(incoming, checkLeaseRequest, options.maxBodyBytes)
  if (body.isErr) {
    sendError(outgoing, body.error.status, body.error.body)
    return
  }
  const phase = options.getPhase()
  if (phase !== 'ready') {
    const error = phase === 'starting' ? 'notReady' : 'draining'
    sendError(outgoing, 503, { error, message: `the instance grants no leases while it is ${phase}` })
    return
  }
  options.leases.grantLease(body.value.content.workspace).match({
    Just: lease => sendJson(outgoing, 200, createLeaseGrant(options, lease)),
    Nothing: () => sendError(outgoing, 503, { error: 'overloaded', message: 'the instance remembers too many leases' })
  })
}

function createLeaseGrant ({ instance, incarnation, leaseMs, getRevision }: CallerRoutesOptions, lease: Lease): LeaseGrant {
  return { lease: lease.token, instance, incarnation, validForMs: leaseMs, revision: getRevision() }
}

async function handleSubmit (options: CallerRoutesOptions, context: RouteContext): Promise<void> {
  const body = await readBody(context.incoming, checkSubmitRequest, options.maxBodyBytes)
  if (body.isErr) {
    sendError(context.outgoing, body.error.status, body.error.body)
    return
  }
  await handleAtOwner(options, context, body.value.text, createSubmitHandler(options, body.value.content))
}

/** Handles a request on its owner, or forwards it to its owner. */
async function handleAtOwner (
  options: CallerRoutesOptions, context: RouteContext, bodyText: string | undefined, handle: RequestHandler
): Promise<void> {
  const path = parsePath(context)
  if (path === undefined) {
    sendError(context.outgoing, 400, createPathError(context))
    return
  }
  const isForwarded = context.incoming.headers[FORWARDED_HEADER] !== undefined
  const location = locateLease(path.leaseId, path.leaseToken, { ...options, isForwarded })
  if (location.kind === 'local') await handle(context, path, location.lease, bodyText)
  else if (location.kind === 'remote') await forwardToOwner(options, context, location.instance, bodyText)
  else await sendEnd(context, location.end)
}

function parsePath ({ pathParameters, query }: RouteContext): RequestPath | undefined {
  const [leaseToken = '', numberText = ''] = pathParameters
  const leaseId = parseLeaseToken(leaseToken).unwrapOr(undefined)
  const number = Number(numberText)
  const offset = Number(query.get('offset') ?? '0')
  if (leaseId === undefined || !/^\d+$/.test(numberText) || number > MAX_REQUEST_NUMBER) return undefined
  if (!Number.isSafeInteger(offset) || offset < 0) return undefined
  return { leaseId, leaseToken, number, offset }
}

function createPathError ({ pathParameters, query }: RouteContext): Parameters<typeof sendError>[2] {
  const value = JSON.stringify([...pathParameters, query.get('offset')]).slice(0, 200)
  const problems = [{ field: 'path', value, allowed: 'a lease, a whole number, and an offset that is a whole number' }]
  return { error: 'invalidInput', message: 'the path does not name a request', problems }
}

async function forwardToOwner (options: CallerRoutesOptions, context: RouteContext, owner: string, body: string | undefined): Promise<void> {
  const { incoming, outgoing } = context
  const ownerUrl = options.findInstanceUrl(owner)
  const { dispatcher } = options
  const result = ownerUrl === undefined ? 'ownerUnreachable' : await forwardRequest({ incoming, outgoing, body, ownerUrl, dispatcher })
  if (result === 'ownerUnreachable') await sendEnd(context, createUnknownEnd('ownerUnreachable'))
  if (result === 'cut') outgoing.destroy()
}

async function sendEnd ({ incoming, outgoing }: RouteContext, end: EndEvent): Promise<void> {
  if (incoming.method === 'DELETE') sendJson(outgoing, 200, end)
  else await sendEvents(outgoing, yieldEvents(end))
}

async function * yieldEvents (...events: StreamEvent[]): AsyncGenerator<StreamEvent> {
  yield * events
}

function createSubmitHandler (options: CallerRoutesOptions, body: SubmitRequest): RequestHandler {
  return async (context, path, lease) => {
    if (options.getPhase() === 'starting') {
      sendError(context.outgoing, 503, { error: 'notReady', message: 'the instance is starting' })
      return
    }
    const entry = options.requests.submitRequest(lease, path.number, body)
    if (entry.isErr) {
      const { status, body: error } = SUBMIT_ERRORS[entry.error]
      sendError(context.outgoing, status, error)
      return
    }
    if (body.replaces !== undefined) options.resumes.cancelGeneration(body.replaces)
    await sendRequestEvents(options, context, entry.value, path.offset)
  }
}

function createAttachHandler (options: CallerRoutesOptions): RequestHandler {
  return async (context, path, lease) => {
    const entry = options.requests.findRequest(lease, path.number).unwrapOr(undefined)
    if (entry === undefined) sendError(context.outgoing, 404, { error: 'notFound', message: 'the lease has no request of this number' })
    else await sendRequestEvents(options, context, entry, path.offset)
  }
}

function createCancelHandler (options: CallerRoutesOptions): RequestHandler {
  return async (context, path, lease) => {
    sendJson(context.outgoing, 200, await options.requests.cancelRequest(lease, path.number))
  }
}

async function sendRequestEvents (options: CallerRoutesOptions, { outgoing }: RouteContext, entry: RequestEntry, offset: number): Promise<void> {
  const { clock, heartbeatMs, isHandingOver } = options
  const signal = createCloseSignal(outgoing)
  await sendEvents(outgoing, readEvents({ entry, offset, clock, heartbeatMs, signal, isHandingOver }))
}

function createCloseSignal (outgoing: RouteContext['outgoing']): AbortSignal {
  const closed = new AbortController()
  outgoing.once('close', () => closed.abort())
  return closed.signal
}

async function resumeGeneration (options: CallerRoutesOptions, { incoming, outgoing }: RouteContext): Promise<void> {
  const body = await readBody(incoming, checkResumeRequest, options.maxBodyBytes)
  if (body.isErr) {
    sendError(outgoing, body.error.status, body.error.body)
    return
  }
  const { resumeToken, offset } = body.value.content
  const payload = options.resumeTokenCodec.decodeToken(resumeToken).unwrapOr(undefined)
  if (payload === undefined) {
    sendError(outgoing, 403, INVALID_RESUME_TOKEN)
    return
  }
  await sendEvents(outgoing, options.resumes.resumeGeneration({ tokenPayload: payload, resumeToken, offset, signal: createCloseSignal(outgoing) }))
}

async function cancelGeneration (options: CallerRoutesOptions, { pathParameters, outgoing }: RouteContext): Promise<void> {
  if (!await options.resumes.cancelGeneration(pathParameters[0] ?? '')) {
    sendError(outgoing, 403, INVALID_RESUME_TOKEN)
    return
  }
  outgoing.writeHead(204)
  outgoing.end()
}
