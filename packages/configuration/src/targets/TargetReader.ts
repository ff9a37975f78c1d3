import { type Target } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** Reads the state that a target reports. */
export interface TargetReader {
  /**
   * Fetches the state of a target.
   * @param target - The target.
   */
  fetchState(target: Target): Promise<Result<TargetState, unknown>>
}
