import { type Result } from 'true-myth'
import { type AdmissionRequest } from '../placement/AdmissionQueue.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type RelayDependencies } from '../requests/RelayDependencies.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type EngineHold } from './EngineHold.js'
import { type HoldFailure } from './EngineHolds.js'

/** A generation that needs a reservation at an engine. */
export interface HeldEngineRequest {
  readonly requestId: string
  readonly admission: AdmissionRequest
  /** Prompt and expected output, in tokens. */
  readonly tokens: number
  /** Time within which the first event is due, in milliseconds. */
  readonly objectiveMs: number
}

/** Number of engines that are asked in succession before the request waits in the queue. */
const MAX_REFUSALS = 3

/** How long a request may go on to ask engines, and how many have refused it. */
interface AskState {
  /** Clock reading at which its time to wait ends. */
  readonly waitEndsAtMs: number
  readonly refusals: number
}

/** Components that find an engine and reserve its capacity. */
export type HeldEngineDependencies = Pick<RelayDependencies, 'clock' | 'admissionQueue' | 'holds' | 'placer' | 'table' | 'log'>

/**
 * Reserves a target and its capacity at the engine. Engines that refuse are passed over, and after several refusals the request
 * waits in the queue. Where an engine gives no answer, the target is reserved without its capacity.
 * @param dependencies - Components that find an engine and reserve its capacity.
 * @param request - The generation.
 * @returns The reservation, which includes that at the engine; undefined when no engine had capacity in time.
 */
export async function reserveHeldEngine (dependencies: HeldEngineDependencies, request: HeldEngineRequest): Promise<TargetReservation | undefined> {
  const { clock, admissionQueue, log } = dependencies
  const { requestId, admission, tokens } = request
  const startedAtMs = clock.nowMs()
  const waitEndsAtMs = startedAtMs + admission.maxWaitMs
  const mayAsk = (refusals: number): boolean => refusals === 0 || (admission.maxWaitMs > 0 ? clock.nowMs() < waitEndsAtMs : refusals < MAX_REFUSALS)
  let refusals = 0
  for (; !admission.signal.aborted && admission.mayWait?.() !== false && mayAsk(refusals); refusals++) {
    const reservation = await admissionQueue.waitForTarget({
      ...admission,
      requirements: { ...admission.requirements, isDecidedByEngine: true, isNearestFirst: refusals > 0 },
      maxWaitMs: waitEndsAtMs - clock.nowMs(),
      mustWait: refusals > 0 && refusals % MAX_REFUSALS === 0
    })
    if (reservation === undefined) break
    if (await addHold(dependencies, request, reservation, { waitEndsAtMs, refusals })) return reservation
  }
  if (refusals > 0) log.recordDecision(requestId, 'no reservation in time', { tokens, refusals, maxWaitMs: Math.round(admission.maxWaitMs), waitedMs: Math.round(clock.nowMs() - startedAtMs) })
  return undefined
}

/** Adds a reservation at the engine; returns whether the request may be sent there, and otherwise releases the target. */
async function addHold (dependencies: HeldEngineDependencies, request: HeldEngineRequest, reservation: TargetReservation, { waitEndsAtMs, refusals }: AskState): Promise<boolean> {
  const { clock, holds, placer } = dependencies
  const { requestId, tokens, objectiveMs, admission: { requirements: { service, tokens: requiredTokens }, maxWaitMs, signal } } = request
  const memoryTokens = service.engine?.memoryTokens ?? Infinity
  const result = await holds.takeHold({
    requestId, service, target: reservation.target, tokens: Math.min(tokens, memoryTokens), requiredTokens, objectiveMs, signal, refusals, giveUpMs: maxWaitMs > 0 ? waitEndsAtMs - clock.nowMs() : Infinity
  })
  if (result.isOk) reservation.setHold(result.value)
  if (maySend(result) && !signal.aborted && isStillThere(dependencies, reservation.target)) {
    reservation.confirm()
    // The next waiting request may ask its engine.
    placer.notifyCapacity()
    return true
  }
  reservation.release({ freesCapacity: result.isOk || result.error !== 'full' })
  return false
}

/** Failures after which it is not known whether the engine has capacity, or made a reservation. */
const UNKNOWN_RESULTS: ReadonlySet<HoldFailure> = new Set(['unanswered', 'mismatched', 'late'])

/** Returns whether a request is sent after a call for a reservation: with one, or where the engine does not tell whether it has capacity. */
function maySend (result: Result<EngineHold, HoldFailure>): boolean {
  return result.isOk || UNKNOWN_RESULTS.has(result.error)
}

/** Returns whether a target is the same as before the call and did not leave during it. */
function isStillThere ({ table }: HeldEngineDependencies, { name, startedAtMs, softwareVersion }: RelayTarget): boolean {
  const tracked = table.getTracked(name)
  const isUsable = tracked?.state === 'ready' || tracked?.state === 'missing'
  return isUsable && tracked.target.startedAtMs === startedAtMs && tracked.target.softwareVersion === softwareVersion
}
