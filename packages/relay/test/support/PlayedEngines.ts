import { type VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { type Attempt, type AttemptError, type AttemptOptions } from '../../src/targets/RelayTargetClient.js'
import { FakeTargetClient, ScriptedAttempt } from './FakeTargetClient.js'

/** A step takes some time, more with each running request; prompts are processed in parts between the steps. */
const STEP_MS = 7
const STEP_MS_PER_REQUEST = 0.12
const PROMPT_TOKENS_PER_MS = 14
const TOKENS_PER_EVENT = 4
const PROMPT_PART_TOKENS = 1024

interface EngineRun {
  readonly attempt: EngineAttempt
  promptTokens: number
  remainingEvents: number
}

/** Attempt to which an engine sends events. */
class EngineAttempt extends ScriptedAttempt {
  private sentEvents = 0
  private readonly arrived: string[] = []
  private notifyWaiter: (() => void) | undefined

  /** Sends the next event. */
  sendEvent (): void {
    this.arrived.push(`id: ${++this.sentEvents}\ndata: x\n\n`)
    this.notifyWaiter?.()
  }

  override async readBytes (): ReturnType<ScriptedAttempt['readBytes']> {
    while (this.arrived.length === 0 && this.endState === undefined) await new Promise<void>(resolve => { this.notifyWaiter = resolve })
    const next = this.arrived.shift()
    return next === undefined ? await super.readBytes() : Result.ok(Buffer.from(next))
  }

  override finish (end: AttemptError | 'complete'): void {
    super.finish(end)
    this.notifyWaiter?.()
  }
}

/** Engines with different speeds whose steps take longer with more requests. All instances share them. */
export class PlayedEngines {
  private readonly runs = new Map<string, EngineRun[]>()
  readonly speeds = new Map<string, number>()
  /** Engine of each request, by id. */
  readonly engineByRequest = new Map<string, string>()

  constructor (private readonly clock: VirtualClock) {}

  /** Creates the client of one instance. */
  createClient (): FakeTargetClient {
    const client = FakeTargetClient.create(this.clock)
    client.sendRequest = (target, options) => this.startRun(target, options)
    return client
  }

  private startRun ({ name }: RelayTarget, options: AttemptOptions): Attempt {
    const { size } = options.request
    this.engineByRequest.set(options.request.id, name)
    const attempt = new EngineAttempt(this.clock, { steps: [] }, options, () => undefined)
    const runs = this.runs.get(name) ?? []
    this.runs.set(name, runs)
    runs.push({ attempt, promptTokens: size!.promptTokens, remainingEvents: size!.expectedOutputTokens! / TOKENS_PER_EVENT })
    if (runs.length === 1) this.runStep(name, runs)
    return attempt
  }

  private runStep (name: string, runs: EngineRun[]): void {
    const prompt = runs.find(({ promptTokens }) => promptTokens > 0)
    const started = runs.filter(({ promptTokens }) => promptTokens === 0)
    const part = Math.min(prompt?.promptTokens ?? 0, PROMPT_PART_TOKENS)
    const decodeMs = started.length > 0 ? TOKENS_PER_EVENT * (STEP_MS + STEP_MS_PER_REQUEST * started.length) : 0
    this.clock.startTimer((decodeMs + part / PROMPT_TOKENS_PER_MS) / this.speeds.get(name)!, () => {
      if (prompt !== undefined) prompt.promptTokens -= part
      for (const run of started) this.produceEvent(run, runs)
      if (runs.length > 0) this.runStep(name, runs)
    })
  }

  private produceEvent (run: EngineRun, runs: EngineRun[]): void {
    if (run.attempt.endState === undefined) run.attempt.sendEvent()
    if (--run.remainingEvents > 0 && run.attempt.endState === undefined) return
    run.attempt.finish('complete')
    runs.splice(runs.indexOf(run), 1)
  }
}
