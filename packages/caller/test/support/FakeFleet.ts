import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo } from 'node:net'
import { json } from 'node:stream/consumers'
import { type EndEvent, type StreamEvent } from '@fescuespoke/schema'

/** What goes wrong with one exchange. */
export type ExchangeFault = 'none' | 'cutBefore' | 'cutAfter' | 'refuse' | 'queueFull' | 'restartBefore' | 'restartAfter' | 'stopAfter'

export interface FakeFleetOptions {
  readonly instances: number
  /** Faults of the exchanges after the first address answer, in order; none after the last. */
  readonly faults: readonly ExchangeFault[]
}

interface FakeInstance {
  readonly name: string
  readonly server: Server
  incarnation: number
  leases: number
  /** Outcomes by request id of this incarnation. */
  requests: Map<string, EndEvent['outcome']>
}

/** Instances that keep the rules of request ids: each runs once at most, at the incarnation that granted its lease. */
export class FakeFleet {
  static async start (options: FakeFleetOptions): Promise<FakeFleet> {
    const instances = await Promise.all(Array.from({ length: options.instances }, async (_, index) => {
      const server = createServer()
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      return { name: `i${index}`, server, incarnation: 1, leases: 0, requests: new Map() }
    }))
    return new FakeFleet(options, instances)
  }

  readonly urls: readonly string[]
  /** Number of times that each body was run. */
  readonly runs = new Map<string, number>()
  private readonly faults: ExchangeFault[]

  private constructor (options: FakeFleetOptions, private readonly instances: readonly FakeInstance[]) {
    this.faults = [...options.faults]
    this.urls = instances.map(({ server }) => `http://127.0.0.1:${(server.address() as AddressInfo).port}`)
    for (const instance of instances) {
      instance.server.on('request', (request, response) => {
        this.handleExchange(instance, request, response).catch(error => response.destroy(error))
      })
    }
  }

  async stop (): Promise<void> {
    for (const { server } of this.instances) {
      server.closeAllConnections()
      server.close()
    }
  }

  private async handleExchange (instance: FakeInstance, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [, , kind, lease = '', number = ''] = (request.url ?? '').split(/[/?]/)
    if (kind === 'addresses') {
      response.end(this.formatAddresses())
      return
    }
    const body = await json(request) as { body?: string }
    const fault = this.faults.shift() ?? 'none'
    FAULTS_BEFORE[fault]?.(instance, response)
    if (response.destroyed) return
    const answer = kind === 'leases' ? grantLease(instance) : this.submitRequest(instance, lease, number, String(body.body), fault)
    FAULTS_AFTER[fault]?.(instance, response)
    if (fault === 'refuse' && kind === 'leases') response.writeHead(503)
    response.end(answer)
  }

  private formatAddresses (): string {
    const addresses = this.urls.map((url, index) => ({ instance: `i${index}`, url, availabilityZone: 'z' }))
    return JSON.stringify({ addresses, validForMs: 1_000_000, revision: 1 })
  }

  private submitRequest (receiver: FakeInstance, lease: string, number: string, body: string, fault: ExchangeFault): string {
    const [name, incarnation] = lease.split('~')
    const owner = this.instances.find(instance => instance.name === name)
    if (owner === undefined || (owner !== receiver && fault === 'refuse')) return formatEnd('unknown', 'ownerUnreachable')
    if (owner.incarnation !== Number(incarnation)) return formatEnd('unknown', 'ownerRestarted')
    const id = `${lease}/${number}`
    const outcome = owner.requests.get(id) ?? this.runRequest(body, fault)
    owner.requests.set(id, outcome)
    if (outcome === 'notRun') return formatEnd('notRun', 'queueFull', 10)
    const reply: StreamEvent = { type: 'reply', status: 200, body }
    return `${JSON.stringify(reply)}\n${formatEnd('complete', 'finished')}`
  }

  private runRequest (body: string, fault: ExchangeFault): EndEvent['outcome'] {
    if (fault === 'queueFull') return 'notRun'
    this.runs.set(body, (this.runs.get(body) ?? 0) + 1)
    return 'complete'
  }
}

type FaultAction = (instance: FakeInstance, response: ServerResponse) => void

const FAULTS_BEFORE: Partial<Record<ExchangeFault, FaultAction>> = {
  cutBefore: (_, response) => { response.destroy() },
  restartBefore: restart
}

const FAULTS_AFTER: Partial<Record<ExchangeFault, FaultAction>> = {
  cutAfter: (_, response) => { response.destroy() },
  stopAfter: ({ server }, response) => {
    server.close()
    response.destroy()
  },
  restartAfter: (instance, response) => {
    restart(instance)
    response.destroy()
  }
}

function restart (instance: FakeInstance): void {
  instance.incarnation++
  instance.requests = new Map()
}

function grantLease (instance: FakeInstance): string {
  const { name, incarnation } = instance
  return JSON.stringify({ lease: `${name}~${incarnation}~${++instance.leases}`, instance: name, incarnation: String(incarnation), validForMs: 1_000_000, revision: 1 })
}

function formatEnd (outcome: EndEvent['outcome'], reason: EndEvent['reason'], retryAfterMs?: number): string {
  const end: EndEvent = { type: 'end', outcome, reason, retryAfterMs }
  return `${JSON.stringify(end)}\n`
}
