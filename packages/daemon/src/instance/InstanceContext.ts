import { AuditTrail, type Clock, createLogger, type Logger, MetricsRegistry, type Random, SystemClock, SystemRandom } from '@fescuespoke/common'
import { type Settings } from '@fescuespoke/schema'
import { type InstanceOptions } from './InstanceOptions.js'

/** Number of random bytes in the name of an incarnation. */
const INCARNATION_BYTES = 8

/** What all parts of an instance share. */
export interface InstanceContext {
  readonly settings: Settings
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly audit: AuditTrail
  readonly metrics: MetricsRegistry
}

/**
 * Creates what all parts of an instance share.
 * @param options - Options of the instance.
 */
export function createInstanceContext (options: InstanceOptions): InstanceContext {
  const { settings, clock = SystemClock.create(), random = SystemRandom.create() } = options
  const instance = settings.instance.id
  const incarnation = random.nextText(INCARNATION_BYTES)
  const logger = options.logger ?? createLogger({ instance, level: 'silent' })
  const audit = AuditTrail.create({ instance, incarnation })
  audit.addListener(event => logger.info({ audit: event }, event.kind))
  return { settings, incarnation, clock, random, logger, audit, metrics: MetricsRegistry.create({ instance, clock }) }
}
