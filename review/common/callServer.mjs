// Stand-in of a server of plain requests: slots, a queue, whole answers, reports of its state to the store.
import { createServer } from 'node:http'

const HEADER = 'x-fescuespoke-'

/** A plain server. */
export class CallServer {
  static async start (options) {
    const server = new CallServer(options)
    await new Promise(resolve => server.server.listen(0, '127.0.0.1', resolve))
    return server
  }

  constructor (options) {
    Object.assign(this, { slots: 6, queue: 24, workMs: () => 30, onArrival: () => undefined, onRun: () => undefined, ...options })
    this.state = 'ready'
    this.sequence = 0
    this.running = 0
    this.waiting = []
    this.server = createServer((incoming, outgoing) => this.receive(incoming, outgoing))
    this.server.keepAliveTimeout = 20_000
  }

  get address () {
    return `127.0.0.1:${this.server.address().port}`
  }

  /** Returns the entry in the store, which a server writes about every heartbeat. */
  createEntry () {
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, cold_remaining_ms: 0, sequence: ++this.sequence }
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  receive (incoming, outgoing) {
    const { headers, url } = incoming
    incoming.resume()
    incoming.once('end', () => {
      if (url === '/health') return outgoing.writeHead(this.state === 'ready' ? 200 : 503, { [`${HEADER}instance-id`]: this.id }).end()
      const id = headers[`${HEADER}attempt-id`]
      if (headers[`${HEADER}expect-instance`] !== this.id) return outgoing.writeHead(421, { [`${HEADER}instance-id`]: this.id, [`${HEADER}attempt-id`]: id }).end()
      this.onArrival(this, id)
      const request = { id, outgoing }
      outgoing.once('close', () => { this.waiting = this.waiting.filter(other => other !== request) })
      if (this.running < this.slots) return this.run(request)
      if (this.waiting.length < this.queue) return this.waiting.push(request)
      outgoing.writeHead(503, { [`${HEADER}not-executed`]: '1', [`${HEADER}attempt-id`]: id }).end()
    })
  }

  run ({ id, outgoing }) {
    this.running++
    this.onRun(this, id)
    setTimeout(() => {
      this.running--
      outgoing.writeHead(200, { [`${HEADER}attempt-id`]: id, [`${HEADER}server-stamp`]: `stamp.${this.id}.${id}` })
      outgoing.end(`${this.id} ${id}`)
      const next = this.waiting.shift()
      if (next !== undefined) this.run(next)
    }, this.workMs())
  }
}
