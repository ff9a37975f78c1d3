import { type Target } from '@fescuespoke/common'
import { type Order, type OrderAnswer } from '@fescuespoke/schema'
import { type Result } from 'true-myth'
import { type TargetReader } from '../targets/TargetReader.js'

/** Why an order has no usable answer. The target may have executed it. */
export type OrderError = 'unreachable' | 'badAnswer'

/** Reads the state of targets and sends them orders. */
export interface OrderClient extends TargetReader {
  /**
   * Sends an order to a target without retrying it.
   * @param target - The target.
   * @param order - The order.
   */
  sendOrder(target: Target, order: Order): Promise<Result<OrderAnswer, OrderError>>
}
