import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { type Settings } from '@fescuespoke/schema'
import { stringify } from 'ini'

/** Settings of a daemon, those with defaults left out. */
export type DaemonSettings = { readonly [S in keyof Settings]?: Partial<Settings[S]> }

/** Where a daemon listens. */
export interface DaemonAddresses {
  readonly url: string
  readonly operatorUrl: string
  readonly peerAddress: string
}

/** Options of a daemon process. */
export interface DaemonProcessOptions {
  readonly settings: DaemonSettings
  /** Folder for the settings file. */
  readonly folder: string
}

/** A daemon in a process of its own. */
export class DaemonProcess {
  /**
   * Starts a daemon and waits until it listens.
   * @param options - Options of the process.
   */
  static async start (options: DaemonProcessOptions): Promise<DaemonProcess> {
    const name = options.settings.instance?.id ?? 'daemon'
    const settingsPath = join(options.folder, `${name}.ini`)
    await writeFile(settingsPath, stringify(options.settings))
    const programPath = join(fileURLToPath(import.meta.resolve('@fescuespoke/daemon')), '../main.js')
    const child = spawn(process.execPath, [programPath, '--settings', settingsPath], { stdio: ['ignore', 'pipe', 'inherit'] })
    const addresses = await waitForAddresses(child)
    return new DaemonProcess(name, child, addresses)
  }

  /** @internal */
  private constructor (readonly name: string, private readonly child: ChildProcess, readonly addresses: DaemonAddresses) {}

  /**
   * Sends a signal to the process.
   * @param signal - Name of the signal.
   */
  sendSignal (signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal)
  }

  /** Tells whether the process has not ended. */
  isRunning (): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  /** Waits until the process has ended and returns its exit status; null when a signal ended it. */
  async waitForExit (): Promise<number | null> {
    if (this.isRunning()) await once(this.child, 'exit')
    return this.child.exitCode
  }
}

async function waitForAddresses (child: ChildProcess): Promise<DaemonAddresses> {
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream })
  return await new Promise((resolve, reject) => {
    child.once('exit', status => reject(new Error(`a daemon ended with status ${status ?? 'none'} before it listened`)))
    lines.on('line', line => {
      const logEntry = JSON.parse(line) as { msg: string } & DaemonAddresses
      if (logEntry.msg === 'listening') resolve({ url: logEntry.url, operatorUrl: logEntry.operatorUrl, peerAddress: logEntry.peerAddress })
      if (logEntry.msg === 'request handler failed') console.error(line)
    })
  })
}
