// A test in which model servers send a second copy of some answers, late; cases 1 and 2 look at what becomes of streams that may run once.
import { createAttemptId, createChannels, resolve, send } from './client.mjs'
import { Deployment, sleep } from './deployment.mjs'
import { Engine } from './engine.mjs'
import { HAS_TROUBLE, openRecord, runTest } from './record.mjs'
import { Store } from './store.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const HOST = 'itineraries.example'

/** Share of the servers that send second copies, share of their answers, how long they do, and the pause until they do again. */
const GARBLED_SHARE = 0.6
const COPIED_SHARE = 0.03
const GARBLED_MS = 5000
const PAUSE_MS = 4000

const TEST_MS = 72_000
const REQUESTS_PER_S = 40
const LIMIT_MS = 39_000

const CONFIGURATION = {
  version: 7,
  routes: [{ name: 'r-itinerary', host: HOST, prefix: '/itinerary/', kind: 'streaming', timeout_ms: 39_000, slo_ms: 1800, priority: 1, service: 'assistant', max_attempts: 1, public: true, affinity: true, resumable: false, gap_target_ms: 180 }],
  services: [{ name: 'assistant', health_path: '/health', max_connections: 222, protocol: 'h1', tls: false, engine: { slots: 6, kv_capacity_tokens: 34_213, kv_token_bytes: 35_136, link_mbps: 5100, moves: true, backups: true, stride: 4, most: 12, pin_ms: 4000, hold_ms: 2000, handle_s: 5, models: [{ name: 'm' }] } }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

const runs = new Map()
const answers = new Map()
const engines = []
let record, store, deployment
let copies = 0

function isGarbling () {
  return performance.now() % (GARBLED_MS + PAUSE_MS) < GARBLED_MS
}

async function startServers (holdRefusal) {
  for (const [index, zone] of [...ZONES, ...ZONES].entries()) {
    const isGarbled = HAS_TROUBLE && index < Math.floor(2 * ZONES.length * GARBLED_SHARE)
    const engine = await Engine.start({
      id: `i-${index}`,
      service: 'assistant',
      zone,
      slots: 6,
      holdMs: 10,
      holdRefusal,
      eventCount: () => 8 + Math.floor(Math.random() * 40),
      duplicates: () => isGarbled && isGarbling() && Math.random() < COPIED_SHARE,
      onRun: ({ id }, request) => {
        record(`server ${id} runs ${request}`)
        runs.set(request, [...runs.get(request) ?? [], id])
      },
      onDuplicate: ({ id }, request) => {
        copies++
        record(`server ${id} sends its answer to ${request} a second time`)
      }
    })
    engines.push(engine)
    store.put(`servers/${engine.id}`, engine.createEntry())
  }
}

async function sendOne () {
  const zone = ZONES[Math.floor(Math.random() * ZONES.length)]
  const directory = deployment.machines.find(machine => machine.zone === zone).directory
  const addresses = await resolve(directory, { name: HOST, region: 'region-1', zone })
  const address = addresses?.[Math.floor(Math.random() * addresses.length)]
  if (address === undefined) return
  const id = createAttemptId()
  record(`client sends ${id} to ${address}`)
  const answer = await send({
    address,
    path: '/itinerary/new',
    headers: { host: HOST, 'x-fescuespoke-attempt-id': id, 'x-fescuespoke-model': 'm', 'x-fescuespoke-token-counts': '400,400', 'x-fescuespoke-length-hint': '100', 'x-fescuespoke-prompt-prefix': `5c1e07a2:80,${id}:320`, 'x-fescuespoke-deadline-ms': String(LIMIT_MS) },
    body: 'x'.repeat(2600),
    channels,
    limitMs: LIMIT_MS
  })
  answers.set(id, answer)
  record(`client got for ${id}: ${answer.error ?? `${answer.status}, ${answer.isComplete ? 'complete' : 'incomplete'}, stamp ${answer.headers['x-fescuespoke-server-stamp'] ?? 'none'}, ${answer.body.slice(-60).replaceAll('\n', ' ')}`}`)
}

const channels = createChannels()

async function play (holdRefusal, findBroken) {
  store = await Store.start()
  store.put('op/config', CONFIGURATION)
  await startServers(holdRefusal)
  deployment = await Deployment.create({ zones: ZONES, machinesPerZone: [5, 4, 4], storeAddress: store.address, record })
  deployment.startAll()
  await deployment.waitUntilReady()
  await sleep(4000)
  const endMs = performance.now() + TEST_MS
  const pending = new Set()
  while (performance.now() < endMs) {
    const sent = sendOne().finally(() => pending.delete(sent))
    pending.add(sent)
    await sleep(-Math.log(1 - Math.random()) * 1000 / REQUESTS_PER_S)
  }
  await Promise.race([Promise.all(pending), sleep(8000)])
  await sleep(1000)
  const statuses = [...answers.values()].map(({ status, error }) => status ?? error)
  const counts = Object.fromEntries([...new Set(statuses)].map(status => [status, statuses.filter(other => other === status).length]))
  record(`answers: ${JSON.stringify(counts)}; runs: ${runs.size}; second copies: ${copies}`)
  return findBroken(runs, answers)
}

/**
 * Plays the test and ends the process.
 * @param options.folder - Folder of the case.
 * @param options.holdRefusal - Headers with which a server refuses a reservation.
 * @param options.findBroken - Returns a line for each request for which the rule is broken, from the servers that ran each request and the answers to clients.
 */
export async function playSecondCopies ({ folder, holdRefusal = {}, findBroken }) {
  record = openRecord(folder)
  await runTest(record, async () => await play(holdRefusal, findBroken), async () => {
    await deployment?.stop()
    for (const engine of engines) engine.close()
    store?.close()
    channels.destroy()
  })
}
