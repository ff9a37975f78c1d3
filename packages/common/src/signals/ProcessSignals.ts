/** Signals on which the process stops after the requests in progress have ended. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Signal on which the process reads its settings again. */
const RELOAD_SIGNAL = 'SIGHUP'

/** Options of the signals of a process. */
export interface ProcessSignalsOptions {
  /** The process; this one by default. */
  readonly source?: Pick<NodeJS.Process, 'on'>
  /** Called once, on the first signal to stop. */
  readonly stop: () => void
  /** Called on each further signal to stop. */
  readonly ignore: (signal: NodeJS.Signals) => void
  /** Called on each signal to read the settings again. */
  readonly reload: () => void
}

/** Handles the signals of the process for the rest of its life, so that none ends it by default. */
export class ProcessSignals {
  /**
   * Handles signals from now on.
   * @param options - Handlers of the signals.
   */
  static create (options: ProcessSignalsOptions): ProcessSignals {
    return new ProcessSignals(options)
  }

  private isStopping = false

  /** @internal */
  private constructor (private readonly options: ProcessSignalsOptions) {
    const { source = process, reload } = options
    for (const signal of STOP_SIGNALS) source.on(signal, () => this.handleStopSignal(signal))
    source.on(RELOAD_SIGNAL, reload)
  }

  private handleStopSignal (signal: NodeJS.Signals): void {
    if (this.isStopping) return this.options.ignore(signal)
    this.isStopping = true
    this.options.stop()
  }
}
