import { type Target } from '@fescuespoke/common'
import { type Order, type OrderAnswer } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type TargetReader } from '../targets/TargetReader.js'

/** Why an order has no answer; it may have been carried out. */
export type OrderError = 'unreachable' | 'badAnswer'

/** Reads the state of targets and gives them orders. */
export interface OrderClient extends TargetReader {
  /**
   * Gives an order to a target once; it is not repeated.
   * @param target - The target.
   * @param order - The order.
   */
  giveOrder(target: Target, order: Order): Promise<Result<OrderAnswer, OrderError>>
}
