import { Result } from 'true-myth'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type EvacuatedZones } from '../places/EvacuatedZones.js'
import { type Attempt, type AttemptError, type AttemptHead, type AttemptOptions, type CopyError, type CopyOptions, type HoldError, type NamedLimit, type RelayTargetClient, type RunCopy, type TakeHoldOptions, type TargetReachability, type TargetReport } from './RelayTargetClient.js'
import { type TargetBackoffs } from './TargetBackoffs.js'

/** Options of a gateway. */
export interface TargetGatewayOptions {
  readonly client: RelayTargetClient
  readonly backoffs: TargetBackoffs
  readonly evacuatedZones: EvacuatedZones
}

const CLOSED_CAUSE = 'the target wants no requests yet'
const EVACUATED_CAUSE = 'the zone of the target is evacuated'

/** Sends requests, copies, reservations and reports to targets, unless the target wants none at that moment; time may have passed since its selection. */
export class TargetGateway {
  /**
   * Creates a gateway.
   * @param options - Options of the gateway.
   */
  static create (options: TargetGatewayOptions): TargetGateway {
    return new TargetGateway(options)
  }

  /** @internal */
  private constructor (private readonly options: TargetGatewayOptions) {}

  /**
   * Sends a request once. The target is checked again when its connection is ready.
   * @param target - The target.
   * @param options - Options of the attempt.
   */
  sendRequest (target: RelayTarget, options: AttemptOptions): Attempt {
    if (!this.mayReceive(target)) return this.isEvacuated(target) ? EVACUATED_ATTEMPT : UNSENT_ATTEMPT
    return this.options.client.sendRequest(target, { ...options, mayStart: () => this.mayReceive(target) })
  }

  /**
   * Copies the memory of a running generation, unless one of both engines is closed. Runs move out of an evacuated zone, but not into it.
   * @param options - Options of the copy.
   */
  async copyRun (options: CopyOptions): Promise<Result<RunCopy, CopyError>> {
    if (this.isClosed(options.from) || this.isClosed(options.to)) return Result.err({ reason: 'closed', cause: CLOSED_CAUSE })
    if (this.isEvacuated(options.to)) return Result.err({ reason: 'closed', cause: EVACUATED_CAUSE })
    return await this.options.client.copyRun(options)
  }

  /**
   * Frees a copy that is not needed. The engine frees it by itself some seconds later if it is closed now.
   * @param source - Engine at which the copy was made.
   * @param handle - Identifier of the copy.
   * @param timeoutMs - Maximum time to wait, in milliseconds.
   */
  async dropCopy (source: RelayTarget, handle: string, timeoutMs: number): Promise<void> {
    if (!this.isClosed(source)) await this.options.client.dropCopy(source, handle, timeoutMs)
  }

  /**
   * Reserves capacity at an engine.
   * @param options - Options of the reservation.
   */
  async takeHold (options: TakeHoldOptions): Promise<Result<string, HoldError>> {
    return !this.mayReceive(options.target) ? Result.err('closed') : await this.options.client.takeHold(options)
  }

  /**
   * Releases a reservation that no request uses. It expires by itself if the engine is closed now.
   * @param target - Engine that made the reservation.
   * @param hold - Id of the reservation.
   * @param timeoutMs - Maximum time to wait, in milliseconds.
   */
  async dropHold (target: RelayTarget, hold: string, timeoutMs: number): Promise<void> {
    if (!this.isClosed(target)) await this.options.client.dropHold(target, hold, timeoutMs)
  }

  /**
   * Fetches the status that a target reports about itself.
   * @param target - The target.
   * @param timeoutMs - Maximum time to wait, in milliseconds.
   */
  async fetchReport (target: RelayTarget, timeoutMs: number): Promise<Result<TargetReport, string>> {
    return this.isClosed(target) ? Result.err(CLOSED_CAUSE) : await this.options.client.fetchReport(target, timeoutMs)
  }

  /**
   * Opens a connection to a target and closes it again, to learn whether the target still runs; not while it wants no requests.
   * @param target - The target.
   * @param timeoutMs - Maximum time to wait, in milliseconds.
   */
  async fetchReachability (target: RelayTarget, timeoutMs: number): Promise<TargetReachability> {
    return this.isClosed(target) ? 'unknown' : await this.options.client.fetchReachability(target, timeoutMs)
  }

  private mayReceive (target: RelayTarget): boolean {
    return !this.isClosed(target) && !this.isEvacuated(target)
  }

  private isEvacuated (target: RelayTarget): boolean {
    return this.options.evacuatedZones.getWaitMs(target) > 0
  }

  private isClosed (target: RelayTarget): boolean {
    return this.options.backoffs.getWaitMs(target) > 0
  }
}

function createUnsentAttempt (cause: string): Attempt {
  return {
    head: Promise.resolve(Result.err<AttemptHead, AttemptError>('notSent')),
    readBytes: async () => Result.err('notSent'),
    isSent: () => false,
    isBrokenOff: () => false,
    getCause: () => cause,
    getNamedLimit: (): NamedLimit | undefined => undefined,
    markLost: () => {}
  }
}

/** Attempts of which nothing is sent. */
const UNSENT_ATTEMPT = createUnsentAttempt(CLOSED_CAUSE)
const EVACUATED_ATTEMPT = createUnsentAttempt(EVACUATED_CAUSE)
