import { TargetScheduler } from './TargetScheduler.js'
import { type TargetSchedulerOptions } from './TargetSchedulerOptions.js'

/**
 * Creates the scheduler of one instance.
 * @param options - Options of the scheduler.
 */
export function createScheduler (options: TargetSchedulerOptions): TargetScheduler {
  return TargetScheduler.create(options)
}
