import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { type Settings } from '@fescuespoke/schema'
import { stringify } from 'ini'

/** Settings of a daemon; settings that have a default may be omitted. */
export type DaemonSettings = { readonly [S in keyof Settings]?: Partial<Settings[S]> }

/** Addresses that a daemon listens on. */
export interface DaemonAddresses {
  readonly url: string
  readonly operatorUrl: string
  readonly peerAddress: string
}

/** Options of a daemon process. */
export interface DaemonProcessOptions {
  readonly settings: DaemonSettings
  /** Directory that the settings file is written to. */
  readonly folder: string
}

/** A daemon that runs in a separate process. */
export class DaemonProcess {
  /**
   * Starts a daemon and waits until it is listening.
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
   * @param signal - Signal name, such as `SIGTERM`.
   */
  sendSignal (signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal)
  }

  /** Returns whether the process is still running. */
  isRunning (): boolean {
    return this.child.exitCode === null && this.child.signalCode === null
  }

  /** Waits until the process has exited and returns its exit status, or null if a signal terminated it. */
  async waitForExit (): Promise<number | null> {
    if (this.isRunning()) await once(this.child, 'exit')
    return this.child.exitCode
  }
}

async function waitForAddresses (child: ChildProcess): Promise<DaemonAddresses> {
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream })
  return await new Promise((resolve, reject) => {
    child.once('exit', status => reject(new Error(`the daemon exited with status ${status ?? 'none'} before it was listening`)))
    lines.on('line', line => {
      const logEntry = JSON.parse(line) as { msg: string } & DaemonAddresses
      if (logEntry.msg === 'listening') resolve({ url: logEntry.url, operatorUrl: logEntry.operatorUrl, peerAddress: logEntry.peerAddress })
      if (logEntry.msg === 'request handler failed') console.error(line)
    })
  })
}
