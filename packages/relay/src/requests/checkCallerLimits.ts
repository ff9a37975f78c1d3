import { type Clock } from '@fescuespoke/common'
import { type CallerLimits } from '../model/RelayConfiguration.js'
import { type RouteTable } from '../model/RouteTable.js'
import { type ConfirmationLimits, computeConfirmationEndMs } from '../published/ViewConfirmation.js'

/** Result of a check: within the limits in force, beyond those of the latest configuration, or beyond limits that may be outdated. */
export type LimitVerdict = 'within' | 'exceeded' | 'notConfirmed'

/** Options of a check. */
export interface LimitCheckOptions {
  readonly requestId: string
  /** Returns whether the request is within limits. */
  readonly isWithin: (limits: CallerLimits) => boolean
  /** Clock reading at which the head of the request was received. */
  readonly receivedAtMs: number
  /** Time for which the caller waited at most then, in milliseconds. */
  readonly remainingMs?: number
  /** Ends the check when the caller has left. */
  readonly signal: AbortSignal
}

/** Components that a check needs. */
export interface LimitCheckContext {
  readonly clock: Clock
  /** Returns the routes in force; undefined before the first configuration. */
  readonly getRoutes: () => RouteTable | undefined
  /** Returns whether the configuration in force is the latest one that was published shortly before; asks the store if need be. */
  readonly confirmView: (limits: ConfirmationLimits) => Promise<boolean>
}

/**
 * Checks a request against the limits for callers. One that exceeds those in force may be allowed by a configuration that was
 * published since, which is confirmed first.
 * @param context - Components that the check needs.
 * @param options - Options of the check.
 */
export async function checkCallerLimits (context: LimitCheckContext, options: LimitCheckOptions): Promise<LimitVerdict> {
  const { clock, getRoutes, confirmView } = context
  const routes = getRoutes()
  if (routes !== undefined && options.isWithin(routes.configuration.limits)) return 'within'
  const endAtMs = computeConfirmationEndMs(clock.nowMs(), options)
  const isConfirmed = await confirmView({ endAtMs, signal: options.signal, isOutdated: () => getRoutes() !== routes })
  if (getRoutes() !== routes) return await checkCallerLimits(context, options)
  return isConfirmed && routes !== undefined ? 'exceeded' : 'notConfirmed'
}
