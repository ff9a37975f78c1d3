// Stand-in of the platform's store: pages, items and watches, as PROTOCOL.md describes them.
import { createServer } from 'node:http'

const HISTORY_MS = 20_000
const PAGE_ITEMS = 500
const MAX_WAIT_MS = 30_000

/** A store that answers at once and loses nothing. */
export class Store {
  static async start () {
    const store = new Store()
    await new Promise(resolve => store.server.listen(0, '127.0.0.1', resolve))
    return store
  }

  constructor () {
    this.items = new Map()
    this.events = []
    this.revision = 10
    this.firstKnown = 10
    this.watches = new Set()
    this.era = 0
    this.isAway = false
    this.server = createServer((incoming, outgoing) => this.handle(incoming, outgoing))
  }

  get address () {
    return `127.0.0.1:${this.server.address().port}`
  }

  /** Writes a value and acknowledges it: all that is called later sees it. */
  put (key, value) {
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: ++this.revision, created: this.items.get(key)?.created ?? this.revision, lease: 0 }
    this.items.set(key, item)
    this.addEvent(item)
  }

  /** Deletes a key. */
  remove (key) {
    if (!this.items.delete(key)) return
    this.addEvent({ key, revision: ++this.revision, tombstone: true })
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Takes a copy of what the store has. */
  createCopy () {
    return { items: new Map(this.items), revision: this.revision }
  }

  /** Ends all channels and refuses calls for some time, then returns from a copy: later revisions are given out again. */
  async returnFromCopy ({ items, revision }, awayMs) {
    this.isAway = true
    this.server.closeAllConnections()
    await new Promise(resolve => setTimeout(resolve, awayMs))
    Object.assign(this, { items: new Map(items), revision, firstKnown: revision, events: [], era: this.era + 1, isAway: false })
  }

  addEvent (event) {
    const nowMs = performance.now()
    this.events.push({ atMs: nowMs, event })
    while (this.events.length > 0 && nowMs - this.events[0].atMs > HISTORY_MS) this.firstKnown = this.events.shift().event.revision
    for (const watch of [...this.watches]) this.answerWatch(watch)
  }

  handle (incoming, outgoing) {
    const url = new URL(incoming.url, 'http://store')
    outgoing.setHeader('Store-Era', this.era)
    if (this.isAway) return outgoing.writeHead(503).end()
    const prefix = url.searchParams.get('prefix') ?? ''
    if (url.pathname === '/fescuespoke/kv-key') return this.answerKey(outgoing, url.searchParams.get('key'))
    if (url.pathname === '/fescuespoke/kv-range') return this.answerPage(outgoing, prefix, url.searchParams.get('after') ?? '')
    if (url.pathname !== '/fescuespoke/kv-watch') return outgoing.writeHead(404).end()
    const after = Number(url.searchParams.get('after'))
    if (after < this.firstKnown || after > this.revision) return outgoing.writeHead(410).end()
    const watch = { outgoing, prefix, after }
    this.watches.add(watch)
    watch.timer = setTimeout(() => this.answerWatch(watch, true), Math.min(MAX_WAIT_MS, Number(url.searchParams.get('wait_ms') ?? 0)))
    outgoing.once('close', () => this.dropWatch(watch))
    this.answerWatch(watch)
  }

  answerKey (outgoing, key) {
    const item = this.items.get(key)
    if (item === undefined) outgoing.writeHead(404).end()
    else sendJson(outgoing, { ...item, current_rev: this.revision })
  }

  answerPage (outgoing, prefix, after) {
    const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    sendJson(outgoing, { items: found.slice(0, PAGE_ITEMS), has_more: found.length > PAGE_ITEMS, current_rev: this.revision })
  }

  answerWatch (watch, isOver = false) {
    if (!this.watches.has(watch)) return
    const events = this.events.map(({ event }) => event).filter(({ key, revision }) => revision > watch.after && key.startsWith(watch.prefix))
    if (events.length === 0 && !isOver) return
    this.dropWatch(watch)
    sendJson(watch.outgoing, { events, current_rev: this.revision })
  }

  dropWatch (watch) {
    clearTimeout(watch.timer)
    this.watches.delete(watch)
  }
}

function sendJson (outgoing, body) {
  outgoing.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
