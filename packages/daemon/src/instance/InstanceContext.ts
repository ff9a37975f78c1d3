import { AuditTrail, type BufferBudget, type Clock, createBufferBudget, createLogger, type Logger, MetricsRegistry, type Random, SystemClock, SystemRandom } from '@fescuespoke/common'
import { type Settings } from '@fescuespoke/schema'
import { type InstanceOptions } from './InstanceOptions.js'

/** Number of random bytes in an incarnation id. */
const INCARNATION_BYTES = 8

/** Settings and services that all components of an instance share. */
export interface InstanceContext {
  readonly settings: Settings
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly audit: AuditTrail
  readonly metrics: MetricsRegistry
  /** Bounds the bytes that the process buffers for all connections together. */
  readonly bufferBudget: BufferBudget
}

/**
 * Creates the settings and services that all components of an instance share.
 * @param options - Options of the instance.
 */
export function createInstanceContext (options: InstanceOptions): InstanceContext {
  const { settings, clock = SystemClock.create(), random = SystemRandom.create() } = options
  const instance = settings.instance.id
  const incarnation = random.nextString(INCARNATION_BYTES)
  const logger = options.logger ?? createLogger({ instance, level: 'silent' })
  const audit = AuditTrail.create({ instance, incarnation })
  audit.addListener(event => logger.info({ audit: event }, event.kind))
  const metrics = MetricsRegistry.create({ instance, clock })
  const bufferBudget = createBufferBudget({ clock, logger, metrics })
  return { settings, incarnation, clock, random, logger, audit, metrics, bufferBudget }
}
