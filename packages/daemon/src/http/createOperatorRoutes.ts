import { type AuditTrail, type MetricsRegistry } from '@fescuespoke/common'
import { type Explanation, type InstanceStatus } from '@fescuespoke/schema'
import { type Maybe } from 'true-myth'
import { type HttpRoute } from './HttpRoute.js'
import { sendError, sendJson } from './sendResponse.js'

/** Options of the routes for operators. */
export interface OperatorRoutesOptions {
  readonly getStatus: () => InstanceStatus
  readonly audit: AuditTrail
  readonly metrics: MetricsRegistry
  readonly findExplanation: (request: string) => Maybe<Explanation>
}

/**
 * Creates the routes of the HTTP interface for operators. All of them are read-only.
 * @param options - Options of the routes.
 */
export function createOperatorRoutes (options: OperatorRoutesOptions): HttpRoute[] {
  const { getStatus, audit, metrics, findExplanation } = options
  return [
    {
      method: 'GET',
      path: '/health',
      handle: ({ outgoing }) => {
        const { phase } = getStatus()
        sendJson(outgoing, phase === 'ready' ? 200 : 503, { alive: true, ready: phase === 'ready', phase })
      }
    },
    { method: 'GET', path: '/v1/status', handle: ({ outgoing }) => sendJson(outgoing, 200, getStatus()) },
    {
      method: 'GET',
      path: '/v1/audit',
      handle: ({ outgoing, query }) => sendJson(outgoing, 200, audit.getPage(Number(query.get('after') ?? '0') || 0))
    },
    { method: 'GET', path: '/v1/metrics', handle: ({ outgoing }) => sendJson(outgoing, 200, metrics.getReading()) },
    {
      method: 'GET',
      path: '/metrics',
      handle: async ({ outgoing }) => {
        outgoing.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
        outgoing.end(await metrics.formatText())
      }
    },
    {
      method: 'GET',
      path: '/v1/explanations/*',
      handle: ({ outgoing, pathParameters }) => {
        findExplanation(pathParameters[0] ?? '').match({
          Just: explanation => sendJson(outgoing, 200, explanation),
          Nothing: () => sendError(outgoing, 404, { error: 'notFound', message: 'this instance does not remember the request' })
        })
      }
    }
  ]
}
