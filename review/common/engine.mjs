// Stand-in of a model server: slots, a queue, reservations, streams of events, reports; no copies between servers.
import { createServer } from 'node:http'

const HEADER = 'x-fescuespoke-'
const REPORT_LAG_MS = 300

/** A model server. It ends a request when its channel closes. */
export class Engine {
  /**
   * @param options.slots - Requests that run at once; `queue`: requests that wait beyond these.
   * @param options.eventCount - Returns the events of a request; `eventMs`: the time between two.
   * @param options.holdMs - Time until a call for a reservation is answered; `holdRefusal`: further headers of a refusal.
   * @param options.duplicates - Returns whether the answer that has just ended is sent once more, late.
   */
  static async start (options) {
    const engine = new Engine(options)
    await new Promise(resolve => engine.server.listen(0, '127.0.0.1', resolve))
    return engine
  }

  constructor (options) {
    Object.assign(this, { slots: 6, queue: 18, eventMs: 30, holdMs: 0, holdRefusal: {}, duplicates: () => false, onRun: () => undefined, onDuplicate: () => undefined, ...options })
    this.running = new Set()
    this.waiting = []
    this.holds = new Map()
    this.holdCount = 0
    this.sequence = 1
    this.extraBySocket = new WeakMap()
    this.turns = new WeakMap()
    this.report = this.createReport()
    this.reportTimer = setInterval(() => { this.report = this.createReport() }, REPORT_LAG_MS)
    this.server = createServer((incoming, outgoing) => this.receive(incoming, outgoing))
    this.server.keepAliveTimeout = 20_000
  }

  get address () {
    return `127.0.0.1:${this.server.address().port}`
  }

  /** Returns the entry in the store. */
  createEntry (state = 'ready') {
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state, cold_remaining_ms: 0, stage: 'combined', models: [{ name: 'm', version: 1, adapters: [] }], sequence: this.sequence++ }
  }

  close () {
    clearInterval(this.reportTimer)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Serves one request at a time on a channel: the next one after the answer to the one before. */
  receive (incoming, outgoing) {
    const { socket } = incoming
    const parts = []
    const isRead = new Promise(resolve => incoming.once('end', resolve))
    const isAnswered = new Promise(resolve => outgoing.once('close', resolve))
    const turn = this.turns.get(socket) ?? Promise.resolve()
    this.turns.set(socket, isAnswered)
    incoming.on('data', part => parts.push(part))
    Promise.all([turn, isRead]).then(() => {
      if (socket.destroyed) return
      this.sendExtra(socket)
      this.handle(incoming, outgoing, Buffer.concat(parts).toString())
    })
  }

  /** The extra copy of an earlier answer comes at the point where the next answer on this channel is expected. */
  sendExtra (socket) {
    const extra = this.extraBySocket.get(socket)
    if (extra === undefined) return
    this.extraBySocket.delete(socket)
    this.onDuplicate(this, extra.id)
    socket.write(extra.bytes)
  }

  handle (incoming, outgoing, body) {
    const { pathname } = new URL(incoming.url, 'http://server')
    if (pathname === '/fescuespoke/report') return sendJson(outgoing, 200, this.report)
    if (pathname === '/fescuespoke/hold-take') return setTimeout(() => this.takeHold(outgoing, JSON.parse(body)), this.holdMs)
    if (pathname.startsWith('/fescuespoke/hold-drop/')) return this.dropHold(outgoing, decodeURIComponent(pathname.slice('/fescuespoke/hold-drop/'.length)))
    if (pathname === '/health') return outgoing.writeHead(200, { [`${HEADER}instance-id`]: this.id }).end()
    if (pathname.startsWith('/fescuespoke/')) return sendJson(outgoing, 404, {})
    this.admit({ id: incoming.headers[`${HEADER}attempt-id`], incoming, outgoing })
  }

  admit (request) {
    const { id, incoming: { headers }, outgoing } = request
    if (headers[`${HEADER}expect-instance`] !== this.id) return outgoing.writeHead(421, { [`${HEADER}instance-id`]: this.id, [`${HEADER}attempt-id`]: id }).end()
    const hold = this.holds.get(headers[`${HEADER}hold`])
    if (hold !== undefined) this.endHold(hold)
    outgoing.once('close', () => this.end(request))
    if (hold !== undefined || this.countFree() > 0) return this.start(request)
    if (this.waiting.length < this.queue) return this.waiting.push(request)
    outgoing.writeHead(503, { [`${HEADER}not-executed`]: '1', [`${HEADER}attempt-id`]: id }).end()
  }

  start (request) {
    const { id, outgoing } = request
    this.running.add(request)
    this.onRun(this, id)
    const head = { 'content-type': 'text/event-stream', [`${HEADER}attempt-id`]: id, [`${HEADER}server-stamp`]: `stamp.${this.id}.${id}`, [`${HEADER}weight-versions`]: '1' }
    const total = this.eventCount(id)
    const sent = []
    outgoing.writeHead(200, head)
    request.timer = setInterval(() => {
      const event = `id: ${sent.length + 1}\ndata: ${this.id} ${id} ${sent.length + 1 === total ? 'last' : 'event'}\n\n`
      sent.push(event)
      outgoing.write(event)
      if (sent.length < total) return
      clearInterval(request.timer)
      if (this.duplicates()) this.extraBySocket.set(outgoing.socket, { id, bytes: formatAnswer(head, sent) })
      outgoing.end()
    }, this.eventMs)
  }

  end (request) {
    clearInterval(request.timer)
    this.running.delete(request)
    this.waiting = this.waiting.filter(other => other !== request)
    while (this.waiting.length > 0 && this.countFree() > 0) this.start(this.waiting.shift())
  }

  takeHold (outgoing, { ttl_ms: ttlMs }) {
    if (this.countFree() - this.waiting.length <= 0) return sendJson(outgoing, 503, {}, this.holdRefusal)
    const hold = { id: `hold-${this.id}-${++this.holdCount}` }
    hold.timer = setTimeout(() => this.endHold(hold), ttlMs)
    this.holds.set(hold.id, hold)
    sendJson(outgoing, 200, { hold: hold.id })
  }

  dropHold (outgoing, id) {
    const hold = this.holds.get(id)
    if (hold !== undefined) this.endHold(hold)
    outgoing.writeHead(hold === undefined ? 404 : 200).end()
  }

  endHold (hold) {
    clearTimeout(hold.timer)
    this.holds.delete(hold.id)
  }

  countFree () {
    return this.slots - this.running.size - this.holds.size
  }

  createReport () {
    return { stage: 'combined', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: this.sequence, queued: this.waiting.length, active: this.running.size, kv_used: this.running.size * 1000, kv_total: 34213, handles: 0, pinned: 0, held: this.holds.size, state: 'ready', next: 0, runs: [] }
  }
}

function sendJson (outgoing, status, body, headers = {}) {
  outgoing.writeHead(status, { 'content-type': 'application/json', ...headers }).end(JSON.stringify(body))
}

/** Formats a whole answer in chunks, as it went out before. */
function formatAnswer (head, events) {
  const lines = ['HTTP/1.1 200 OK', ...Object.entries(head).map(([name, value]) => `${name}: ${value}`), 'transfer-encoding: chunked', '', '']
  const chunks = events.map(event => `${Buffer.byteLength(event).toString(16)}\r\n${event}\r\n`)
  return `${lines.join('\r\n')}${chunks.join('')}0\r\n\r\n`
}
