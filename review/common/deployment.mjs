// Starts the product's processes as the deploy file says, with settings like those of a small deployment, and ends them.
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** Bounds of a small site. */
export const BOUNDS = {
  seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, downgrade_slack_ms: 250, outer_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_extra: 52, recovery_s: 12, pass_ms: 120, retry_after_s: 4.3, ttl_max_s: 5
}

const HOST = '127.0.0.1'
const PORTS_PER_MACHINE = 5

/** Ports on which processes listen: a range for each of some tests that run at the same time, below the ports of outgoing connections. */
const FIRST_PORT = 10_000
const RANGE_PORTS = 500
const RANGES = 40
const KILL_DELAY_MS = 1000

/** Returns the words of the command with which the deploy file starts the role. */
function readCommand () {
  const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))
  return command.split(' ')
}

/** Waits for a number of milliseconds. */
export async function sleep (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

async function findFreePort (host) {
  for (;;) {
    const port = FIRST_PORT + process.pid % RANGES * RANGE_PORTS + Math.floor(Math.random() * RANGE_PORTS)
    const server = createServer()
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, host, () => resolve(true))
    })
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
}

/** One machine of class `front` and its process. */
class Machine {
  constructor (deployment, name, zone, ports) {
    Object.assign(this, { deployment, name, zone, ports, starts: 0, exits: [] })
    this.front = `${HOST}:${ports[0]}`
    this.ready = `${HOST}:${ports[1]}`
    this.control = `${HOST}:${ports[2]}`
    this.directory = `${HOST}:${ports[3]}`
  }

  /** Starts the process; its output goes to a file in the temporary folder. */
  start () {
    const { deployment, name } = this
    const settingsPath = join(deployment.folder, `${name}.json`)
    writeFileSync(settingsPath, JSON.stringify(deployment.createSettings(this)))
    const [program, ...words] = readCommand()
    const log = openSync(join(deployment.folder, `${name}.${this.starts++}.log`), 'w')
    const environment = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, FESCUESPOKE_SETTINGS: settingsPath }
    const child = spawn(program, words, { cwd: ROOT, env: environment, stdio: ['ignore', log, log] })
    closeSync(log)
    this.child = child
    this.hasExited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        const exit = { atMs: Date.now(), code, signal, isExpected: child.isExpectedToEnd === true }
        this.exits.push(exit)
        deployment.record(`${name} process ${child.pid} ended: status ${code}, signal ${signal}`)
        resolve(exit)
      })
    })
    deployment.record(`${name} process ${child.pid} started`)
    return child
  }

  /** Sends a signal to the process that this test started. */
  signal (signal) {
    this.deployment.record(`${this.name} process ${this.child.pid} gets ${signal}`)
    this.child.kill(signal)
  }

  /** Returns the text that the last process has written. */
  readLog (start = this.starts - 1) {
    return readFileSync(join(this.deployment.folder, `${this.name}.${start}.log`), 'utf8')
  }
}

/** The machines of a deployment. */
export class Deployment {
  /** Creates the machines without starting their processes. */
  static async create ({ zones, machinesPerZone, storeAddress, record, overrides = {} }) {
    const deployment = new Deployment({ zones, storeAddress, record, overrides })
    for (const [index, zone] of zones.entries()) {
      for (let number = 1; number <= machinesPerZone[index]; number++) {
        const ports = []
        while (ports.length < PORTS_PER_MACHINE) {
          const port = await findFreePort(HOST)
          if (!deployment.usedPorts.has(port)) ports.push(port)
          deployment.usedPorts.add(port)
        }
        deployment.machines.push(new Machine(deployment, `front-${zone}-${number}`, zone, ports))
      }
    }
    return deployment
  }

  constructor (options) {
    Object.assign(this, options, { machines: [], usedPorts: new Set(), folder: mkdtempSync(join(tmpdir(), 'review-')) })
  }

  /** Creates the settings of a machine in the format of the platform. */
  createSettings ({ name, zone, ports, front, ready, control, directory }) {
    return {
      node_name: name, role: 'instance', machine_class: 'front', serves: ['front', 'directory', 'control'], ip: HOST, zone, region: 'region-1', zones: Object.fromEntries(this.zones.map(other => [other, 'region-1'])), listen: { front, ready, control, directory }, internal_ports: [ports[4], ports[4]], seeds: this.machines.filter((_, index) => index % Math.ceil(this.machines.length / 3) === 0).slice(0, 3).map(machine => machine.control), bootstrap: true, loss_counts: false, limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100, link_mbps: 1000, disk_mb: 0 }, data_dir: null, discovery: 'platform', entry: 'directory', heartbeat_ms: 1200, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform'], fault_tolerance: { machines: 1, zones: 0, regions: 0 }, bounds: BOUNDS, platform: { address: this.storeAddress, form: 'read', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000 }, ...this.overrides
    }
  }

  /** Starts all processes. */
  startAll () {
    for (const machine of this.machines) machine.start()
  }

  /** Waits until all machines answer the readiness check with 200. */
  async waitUntilReady (timeoutMs = 20_000) {
    const endMs = Date.now() + timeoutMs
    for (const machine of this.machines) while (!await isReady(machine)) if (Date.now() > endMs) throw new Error(`${machine.name} is not ready`); else await sleep(50)
    this.record(`${this.machines.length} machines are ready`)
  }

  /** Ends all processes that this test started, by their ids, and removes the temporary folder. */
  async stop () {
    const running = this.machines.filter(({ child }) => child !== undefined && child.exitCode === null && child.signalCode === null)
    for (const { child } of running) child.kill('SIGCONT')
    for (const { child } of running) child.kill('SIGKILL')
    await Promise.race([Promise.all(running.map(({ hasExited }) => hasExited)), sleep(KILL_DELAY_MS)])
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
  }
}

async function isReady ({ ready }) {
  try {
    const { status } = await fetch(`http://${ready}/fescuespoke/ready`, { signal: AbortSignal.timeout(1000) })
    return status === 200
  } catch {
    return false
  }
}
