import { type Random } from '@fescuespoke/common'
import { type AnswerStep } from './FakeTargetClient.js'

/** What happens to the engines of a played stop; times in milliseconds, rates per engine. */
export interface TroubleOptions {
  /** Share of the engines that fall silent once during the stop. */
  readonly silentShare?: number
  /** Range of the time for which engines and runs are silent. */
  readonly silenceMs?: readonly [number, number]
  /** Share of the runs that fall silent after one of their events. */
  readonly silentRunShare?: number
  /** Time between the notices of two engines that leave one after the other, and range of the time from notice to end; by default none leaves. */
  readonly leaveIntervalMs?: number
  readonly noticeMs?: readonly [number, number]
  /** Share of the runs that wait in the engine's queue, and the longest wait. */
  readonly queueShare?: number
  readonly maxQueueMs?: number
}

/** When an engine is silent, announces its end, and ends; clock readings, `Infinity` for never. */
export interface EngineTrouble {
  readonly silentFromMs: number
  readonly silentToMs: number
  readonly noticeAtMs: number
  readonly endAtMs: number
}

/** Events of a run: the pause before each one, in milliseconds. */
export interface PlannedEvent {
  readonly pauseMs: number
  readonly text: string
}

const DEFAULT_SILENCE_MS = [500, 3500] as const
const DEFAULT_NOTICE_MS = [1500, 2100] as const

/** Plans what happens to engines while an instance stops; nothing does before. */
export class EngineTroubles {
  static create (options: TroubleOptions, random: Random, stopAtMs: number, stopMs: number): EngineTroubles {
    return new EngineTroubles(options, random, stopAtMs, stopMs)
  }

  private readonly troubles = new Map<string, EngineTrouble>()

  private constructor (private readonly options: TroubleOptions, private readonly random: Random, private readonly stopAtMs: number, private readonly stopMs: number) {}

  /** Plans the trouble of an engine. */
  plan (engine: string, index: number): EngineTrouble {
    const { silentShare = 0, silenceMs = DEFAULT_SILENCE_MS, leaveIntervalMs = Infinity, noticeMs = DEFAULT_NOTICE_MS } = this.options
    const isSilent = silentShare > 0 && this.random.nextFloat() < silentShare
    const silentFromMs = isSilent ? this.stopAtMs + this.random.nextFloat() * this.stopMs : Infinity
    const noticeAtMs = this.stopAtMs + (index + 0.5) * leaveIntervalMs
    const trouble = { silentFromMs, silentToMs: silentFromMs + (isSilent ? this.draw(silenceMs) : 0), noticeAtMs, endAtMs: noticeAtMs + (leaveIntervalMs === Infinity ? 0 : this.draw(noticeMs)) }
    this.troubles.set(engine, trouble)
    return trouble
  }

  /** Draws the time for which a run waits in the queue of its engine. */
  drawQueueMs (nowMs: number): number {
    const { queueShare = 0, maxQueueMs = 0 } = this.options
    return nowMs >= this.stopAtMs && queueShare > 0 && this.random.nextFloat() < queueShare ? this.random.nextFloat() * maxQueueMs : 0
  }

  /** Draws the time for which a run is silent after an event. */
  drawSilenceMs (nowMs: number): number {
    const { silentRunShare = 0, silenceMs = DEFAULT_SILENCE_MS } = this.options
    return nowMs >= this.stopAtMs && silentRunShare > 0 && this.random.nextFloat() < silentRunShare ? this.draw(silenceMs) : 0
  }

  /** Returns the steps of a run that begins now: silent engines send nothing, and the answers of one that ends are broken off. */
  createSteps (engine: string, nowMs: number, events: readonly PlannedEvent[]): AnswerStep[] {
    const { silentFromMs, silentToMs, endAtMs } = this.troubles.get(engine)!
    const steps: AnswerStep[] = []
    let atMs = nowMs
    for (const { pauseMs, text } of events) {
      const dueMs = atMs + pauseMs
      const sentAtMs = dueMs >= silentFromMs && dueMs < silentToMs ? silentToMs : dueMs
      if (sentAtMs >= endAtMs) return [...steps, Math.max(0, endAtMs - atMs), { error: 'lost' }]
      steps.push(Math.min(sentAtMs - atMs, MAX_PAUSE_MS), text)
      atMs = sentAtMs
    }
    return [...steps, 'END']
  }

  private draw ([shortest, longest]: readonly [number, number]): number {
    return longest === Infinity ? Infinity : shortest + this.random.nextFloat() * (longest - shortest)
  }
}

/** Longest pause of a played engine, in milliseconds. */
const MAX_PAUSE_MS = 1e7
