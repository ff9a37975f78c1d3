import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { type InstanceStatus } from '@fescuespoke/schema'

/** Response of a fake: a status and a body, or `noResponse` to leave the request unanswered. */
export type FakeResponse = { readonly status: number, readonly body: unknown } | 'noResponse'

/** HTTP server with the operator interface of an instance that returns prepared responses. */
export class FakeOperatorServer {
  static async start (): Promise<FakeOperatorServer> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return new FakeOperatorServer(server)
  }

  readonly url: string
  /** Responses by path, returned in order; the last one is repeated. */
  readonly responses = new Map<string, FakeResponse[]>()
  private readonly requestCounts = new Map<string, number>()

  private constructor (private readonly server: Server) {
    this.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    server.on('request', (request, response) => {
      const fakeResponse = this.takeNextResponse(request.url ?? '')
      if (fakeResponse === 'noResponse') return
      response.writeHead(fakeResponse.status, { 'content-type': 'application/json' })
      response.end(typeof fakeResponse.body === 'string' ? fakeResponse.body : JSON.stringify(fakeResponse.body))
    })
  }

  setResponses (path: string, ...bodies: unknown[]): void {
    this.responses.set(path, bodies.map(body => body === 'noResponse' ? 'noResponse' : { status: 200, body }))
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise(resolve => { this.server.close(resolve) })
  }

  private takeNextResponse (path: string): FakeResponse {
    const pathResponses = this.responses.get(path) ?? [{ status: 404, body: { error: 'notFound', message: 'not found' } }]
    const requestCount = this.requestCounts.get(path) ?? 0
    this.requestCounts.set(path, requestCount + 1)
    return pathResponses[Math.min(requestCount, pathResponses.length - 1)] as FakeResponse
  }
}

/** Creates the status of an instance without problems. */
export function createStatus (overrides: Partial<InstanceStatus> = {}): InstanceStatus {
  return {
    instance: 'i1',
    incarnation: 'r1',
    phase: 'ready',
    revision: 7,
    listVersion: 3,
    listAgeMs: 400,
    configurationAgeMs: 1500,
    requests: 2,
    queued: 1,
    targets: [],
    members: [],
    refused: [],
    ...overrides
  }
}
