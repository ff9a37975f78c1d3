import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { json } from 'node:stream/consumers'
import { type EndEvent, type StreamEvent } from '@fescuespoke/schema'

/** Fault injected into one exchange. */
export type ExchangeFault = 'none' | 'disconnectBefore' | 'disconnectAfter' | 'unavailable' | 'queueFull' | 'restartBefore' | 'restartAfter' | 'stopAfter'

export interface FakeFleetOptions {
  readonly instances: number
  /** Faults of the exchanges in order, not counting address requests. Exchanges after the last fault have none. */
  readonly faults: readonly ExchangeFault[]
}

interface FleetInstance {
  readonly name: string
  readonly server: Server
  incarnation: number
  grantedLeases: number
  /** Outcomes by request id in this incarnation. */
  outcomes: Map<string, EndEvent['outcome']>
}

/**
 * Instances that follow the rules of request ids. Each request id runs at most once, at the incarnation that granted
 * its lease.
 */
export class FakeFleet {
  static async start (options: FakeFleetOptions): Promise<FakeFleet> {
    const instances = await Promise.all(Array.from({ length: options.instances }, async (_, index) => {
      const server = createServer()
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      return { name: `i${index}`, server, incarnation: 1, grantedLeases: 0, outcomes: new Map() }
    }))
    return new FakeFleet(options, instances)
  }

  readonly urls: readonly string[]
  /** Number of runs by body. */
  readonly runCounts = new Map<string, number>()
  private readonly faults: ExchangeFault[]

  private constructor (options: FakeFleetOptions, private readonly instances: readonly FleetInstance[]) {
    this.faults = [...options.faults]
    this.urls = instances.map(({ server }) => `http://127.0.0.1:${(server.address() as AddressInfo).port}`)
    for (const instance of instances) {
      instance.server.on('request', (request, response) => {
        this.handleRequest(instance, request, response).catch(error => response.destroy(error))
      })
    }
  }

  async stop (): Promise<void> {
    for (const { server } of this.instances) {
      server.closeAllConnections()
      server.close()
    }
  }

  private async handleRequest (instance: FleetInstance, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [, , resource, lease = '', number = ''] = (request.url ?? '').split(/[/?]/)
    if (resource === 'addresses') {
      response.end(this.formatAddressAnswer())
      return
    }
    const body = await json(request) as { body?: string }
    const fault = this.faults.shift() ?? 'none'
    ACTIONS_BEFORE_HANDLING[fault]?.(instance, response)
    if (response.destroyed) return
    const responseBody = resource === 'leases' ? grantLease(instance) : this.submitRequest(instance, lease, number, String(body.body), fault)
    ACTIONS_AFTER_HANDLING[fault]?.(instance, response)
    if (fault === 'unavailable' && resource === 'leases') response.writeHead(503)
    response.end(responseBody)
  }

  private formatAddressAnswer (): string {
    const addresses = this.urls.map((url, index) => ({ instance: `i${index}`, url, availabilityZone: 'z' }))
    return JSON.stringify({ addresses, validForMs: 1_000_000, revision: 1 })
  }

  private submitRequest (receiver: FleetInstance, lease: string, number: string, body: string, fault: ExchangeFault): string {
    const [name, incarnation] = lease.split('~')
    const owner = this.instances.find(instance => instance.name === name)
    if (owner === undefined || (owner !== receiver && fault === 'unavailable')) return formatEndEvent('unknown', 'ownerUnreachable')
    if (owner.incarnation !== Number(incarnation)) return formatEndEvent('unknown', 'ownerRestarted')
    const id = `${lease}/${number}`
    const outcome = owner.outcomes.get(id) ?? this.runRequest(body, fault)
    owner.outcomes.set(id, outcome)
    if (outcome === 'notRun') return formatEndEvent('notRun', 'queueFull', 10)
    const reply: StreamEvent = { type: 'reply', status: 200, body }
    return `${JSON.stringify(reply)}\n${formatEndEvent('complete', 'finished')}`
  }

  private runRequest (body: string, fault: ExchangeFault): EndEvent['outcome'] {
    if (fault === 'queueFull') return 'notRun'
    this.runCounts.set(body, (this.runCounts.get(body) ?? 0) + 1)
    return 'complete'
  }
}

type FaultAction = (instance: FleetInstance, response: ServerResponse) => void

const ACTIONS_BEFORE_HANDLING: Partial<Record<ExchangeFault, FaultAction>> = {
  disconnectBefore: (_, response) => { response.destroy() },
  restartBefore: restartInstance
}

const ACTIONS_AFTER_HANDLING: Partial<Record<ExchangeFault, FaultAction>> = {
  disconnectAfter: (_, response) => { response.destroy() },
  stopAfter: ({ server }, response) => {
    server.close()
    response.destroy()
  },
  restartAfter: (instance, response) => {
    restartInstance(instance)
    response.destroy()
  }
}

function restartInstance (instance: FleetInstance): void {
  instance.incarnation++
  instance.outcomes = new Map()
}

function grantLease (instance: FleetInstance): string {
  const { name, incarnation } = instance
  return JSON.stringify({ lease: `${name}~${incarnation}~${++instance.grantedLeases}`, instance: name, incarnation: String(incarnation), validForMs: 1_000_000, revision: 1 })
}

function formatEndEvent (outcome: EndEvent['outcome'], reason: EndEvent['reason'], retryAfterMs?: number): string {
  const end: EndEvent = { type: 'end', outcome, reason, retryAfterMs }
  return `${JSON.stringify(end)}\n`
}
