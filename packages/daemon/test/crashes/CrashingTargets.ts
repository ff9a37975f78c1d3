import { type Clock } from '@fescuespoke/common'

/** Time from the start of a deadly run to the crash of its target, in milliseconds. */
const CRASH_DELAY_MS = 30

/** Content of a generation or call, as a target receives it. */
export type Content = string

/** One run that reached a target. */
export interface Arrival {
  readonly atMs: number
  readonly target: string
  readonly content: Content
}

/** A run in progress. */
export interface TargetRun {
  /** Resolves when the target crashes. */
  readonly crashed: Promise<'crashed'>
  /** Removes the run from its target. */
  finish(): void
}

/** Options of targets. */
export interface CrashingTargetsOptions {
  readonly clock: Clock
  /** Time for which a crashed target is gone, in milliseconds. */
  readonly restartMs: number
  /** Returns whether the content crashes a target that runs it. */
  readonly isDeadly: (content: Content) => boolean
}

interface TargetProcess {
  incarnation: number
  isUp: boolean
  readonly crashRuns: Set<() => void>
}

/** Processes of targets that crash under certain contents, and are back after some time as another incarnation. */
export class CrashingTargets {
  readonly arrivals: Arrival[] = []
  readonly crashes: Arrival[] = []
  private readonly processes = new Map<string, TargetProcess>()

  constructor (private readonly options: CrashingTargetsOptions) {}

  /** Returns the incarnation of a target; undefined while it is down. */
  findIncarnation (target: string): string | undefined {
    const { isUp, incarnation } = this.getProcess(target)
    return isUp ? String(incarnation) : undefined
  }

  /** Starts a run; undefined while the target is down. */
  startRun (target: string, content: Content): TargetRun | undefined {
    const { clock, isDeadly } = this.options
    const process = this.getProcess(target)
    if (!process.isUp) return undefined
    const { incarnation } = process
    this.arrivals.push({ atMs: clock.nowMs(), target, content })
    let crash = (): void => undefined
    const crashed = new Promise<'crashed'>(resolve => { crash = () => resolve('crashed') })
    process.crashRuns.add(crash)
    if (isDeadly(content)) clock.startTimer(CRASH_DELAY_MS, () => { if (process.incarnation === incarnation) this.crash(target, content) })
    return { crashed, finish: () => { process.crashRuns.delete(crash) } }
  }

  /** Crashes a target. */
  crash (target: string, content: Content): void {
    const { clock, restartMs } = this.options
    const process = this.getProcess(target)
    if (!process.isUp) return
    this.crashes.push({ atMs: clock.nowMs(), target, content })
    process.isUp = false
    process.incarnation++
    for (const crashRun of process.crashRuns) crashRun()
    process.crashRuns.clear()
    clock.startTimer(restartMs, () => { process.isUp = true })
  }

  private getProcess (target: string): TargetProcess {
    const known = this.processes.get(target)
    if (known !== undefined) return known
    const process: TargetProcess = { incarnation: 1, isUp: true, crashRuns: new Set() }
    this.processes.set(target, process)
    return process
  }
}
