// LOST: streams that a stopping process has accepted and passed on are cut when it exits. Machines are stopped and started in turn.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createAttemptId, resolve, send } from '../common/client.mjs'
import { Deployment, sleep } from '../common/deployment.mjs'
import { Engine } from '../common/engine.mjs'
import { HAS_TROUBLE, openRecord, runTest } from '../common/record.mjs'
import { Store } from '../common/store.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const HOST = 'itineraries.example'
const ENGINES = 20

/** Clients, share of them that keep an answer of the directory three times as long, and requests of all in a second. */
const CLIENTS = 42
const PATIENT_SHARE = 0.5
const REQUESTS_PER_S = 150
const LIMIT_MS = 39_000

/** Events of a stream: median and spread; and how far off the clients' estimate of its length is. */
const MEDIAN_EVENTS = 40
const EVENT_SPREAD = 0.84
const MAX_EVENTS = 275
const HINT_SPREAD = 1.2
const EVENT_MS = 120
const TOKENS_PER_EVENT = 4

const WARM_UP_MS = 8000
const GRACE_MS = 8000
const ROLL_GAP_MS = 1000

/** Requests that are sent up to this time after the SIGTERM do not count where the server is still at work in the last sixth of the grace. */
const EXCUSED_MS = 3000

const CONFIGURATION = {
  version: 7,
  routes: [{ name: 'r-itinerary', host: HOST, prefix: '/itinerary/', kind: 'streaming', timeout_ms: LIMIT_MS, slo_ms: 1800, priority: 1, service: 'assistant', max_attempts: 1, public: true, affinity: true, resumable: false, gap_target_ms: 180 }],
  services: [{ name: 'assistant', health_path: '/health', max_connections: 442, protocol: 'h1', tls: false, engine: { slots: 64, kv_capacity_tokens: 34_474, kv_token_bytes: 35_136, link_mbps: 5100, moves: true, backups: true, stride: TOKENS_PER_EVENT, most: 12, pin_ms: 4000, hold_ms: 2000, handle_s: 5, models: [{ name: 'm' }] } }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

const record = openRecord(dirname(fileURLToPath(import.meta.url)))
const runs = new Map()
const lengths = new Map()
const sent = []
const terms = []
const engines = []
let store, deployment
let isOver = false

function drawNormal () {
  return Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random())
}

async function startServers () {
  for (let index = 0; index < ENGINES; index++) {
    const engine = await Engine.start({
      id: `i-${index}`,
      service: 'assistant',
      zone: ZONES[index % ZONES.length],
      slots: 64,
      queue: 192,
      eventMs: EVENT_MS,
      eventCount: id => lengths.get(id),
      onRun: ({ id }, request) => {
        record(`server ${id} runs ${request}`)
        runs.set(request, performance.now())
      }
    })
    engines.push(engine)
    store.put(`servers/${engine.id}`, engine.createEntry())
  }
}

/** A client: asks the directory of its zone, keeps the answer for its time or three times as long, and opens a new channel for each request. */
async function runClient (zone, isPatient) {
  const directories = deployment.machines.filter(machine => machine.zone === zone).concat(deployment.machines.filter(machine => machine.zone !== zone)).slice(0, 3).map(({ directory }) => directory)
  let addresses
  let expiresAtMs = 0
  for (;;) {
    await sleep(-Math.log(1 - Math.random()) * 1000 * CLIENTS / REQUESTS_PER_S)
    if (isOver) return
    if (performance.now() >= expiresAtMs) {
      for (const directory of directories) {
        const answer = await resolve(directory, { name: HOST, region: 'region-1', zone })
        if (answer === undefined) continue
        addresses = answer
        expiresAtMs = performance.now() + 2000 * (isPatient ? 3 : 1)
        break
      }
    }
    const address = addresses?.[Math.floor(Math.random() * addresses.length)]
    if (address !== undefined) sendOne(address)
  }
}

async function sendOne (address) {
  const id = createAttemptId()
  const events = Math.max(1, Math.min(MAX_EVENTS, Math.round(MEDIAN_EVENTS * Math.exp(EVENT_SPREAD * drawNormal()))))
  const hint = Math.max(1, Math.round(events * TOKENS_PER_EVENT * Math.exp(HINT_SPREAD * drawNormal())))
  lengths.set(id, events)
  const request = { id, address, events, hint, sentAtMs: performance.now() }
  sent.push(request)
  record(`client sends ${id} to ${address}: ${events * TOKENS_PER_EVENT} tokens, estimate ${hint}`)
  request.answer = await send({
    address,
    path: '/itinerary/new',
    headers: { host: HOST, 'x-fescuespoke-attempt-id': id, 'x-fescuespoke-model': 'm', 'x-fescuespoke-token-counts': `200,${MAX_EVENTS * TOKENS_PER_EVENT}`, 'x-fescuespoke-length-hint': String(hint), 'x-fescuespoke-prompt-prefix': `5c1e07a2:80,${id}:120`, 'x-fescuespoke-deadline-ms': String(LIMIT_MS) },
    body: 'x'.repeat(2600),
    limitMs: LIMIT_MS
  })
  request.endedAtMs = performance.now()
  const { error, status, isComplete, body } = request.answer
  record(`client got for ${id}: ${error ?? `${status}, ${isComplete ? 'complete' : 'incomplete'}, ${(body.match(/^data/gm) ?? []).length} events`}`)
}

/** Stops and starts all machines, one after the other. */
async function rollMachines () {
  for (const machine of deployment.machines) {
    const term = { address: machine.front, sentAtMs: performance.now() }
    terms.push(term)
    machine.signal('SIGTERM')
    await Promise.race([machine.hasExited, sleep(GRACE_MS)])
    if (machine.child.exitCode === null) machine.signal('SIGKILL')
    await machine.hasExited
    term.endedAtMs = performance.now()
    machine.start()
    await sleep(ROLL_GAP_MS)
  }
}

/** Finds requests that a stopping machine has passed on, and whose channel ended without a complete answer. */
function findLost () {
  return terms.flatMap(term => sent.filter(({ id, address, sentAtMs, endedAtMs, answer }) => {
    const wasSentMeanwhile = address === term.address && sentAtMs < term.endedAtMs && endedAtMs > term.sentAtMs && endedAtMs < term.endedAtMs + 1000
    const isIncomplete = answer.error !== undefined || !answer.isComplete
    return wasSentMeanwhile && isIncomplete && runs.has(id) && sentAtMs - term.sentAtMs > EXCUSED_MS
  }).map(({ id, events, hint, sentAtMs, endedAtMs }) => `LOST: ${id} was sent ${Math.round(sentAtMs - term.sentAtMs)} ms after the SIGTERM of ${term.address}, was run, and its channel ended ${Math.round(endedAtMs - term.sentAtMs)} ms after it without a complete answer; ${events * TOKENS_PER_EVENT} tokens, estimate ${hint}`))
}

async function test () {
  store = await Store.start()
  store.put('op/config', CONFIGURATION)
  await startServers()
  deployment = await Deployment.create({ zones: ZONES, machinesPerZone: [2, 2, 2], storeAddress: store.address, record })
  deployment.startAll()
  await deployment.waitUntilReady()
  const clients = Array.from({ length: CLIENTS }, (_, index) => runClient(ZONES[index % ZONES.length], index < CLIENTS * PATIENT_SHARE))
  await sleep(WARM_UP_MS)
  if (HAS_TROUBLE) await rollMachines()
  else await sleep(deployment.machines.length * (GRACE_MS + ROLL_GAP_MS))
  isOver = true
  await Promise.all(clients)
  await sleep(3000)
  for (const request of sent) request.answer ??= { isComplete: true, status: 'still running' }
  const outcomes = sent.map(({ answer: { error, status, isComplete } }) => error ?? `${status}${isComplete ? '' : ' incomplete'}`)
  record(`answers: ${JSON.stringify(Object.fromEntries([...new Set(outcomes)].map(outcome => [outcome, outcomes.filter(other => other === outcome).length])))}; runs: ${runs.size}`)
  return findLost()
}

await runTest(record, test, async () => {
  await deployment?.stop()
  for (const engine of engines) engine.close()
  store?.close()
})
