import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { EngineCore } from '@fescuespoke/standins'
import { describe, expect, it } from 'vitest'
import { computeFencingTokenRevision, computeFirstFencingToken } from '../../../configuration/src/orders/FencingToken.js'
import { OrderSession } from '../../../configuration/src/orders/OrderSession.js'
import { type ModelController, ordersModel, type OrdersState } from '../../src/index.js'
import { createWalk } from '../support/createWalk.js'

const WALK_COUNT = 100
const MAX_STEPS = 50

/** Number of fencing tokens of one revision in the model. */
const MODEL_FENCING_TOKENS_PER_REVISION = 4

/** Drives the order sessions of two placement controllers and an engine stand-in through the steps of a trace. */
class OrdersDriver {
  readonly sessions = [OrderSession.create(0), OrderSession.create(0)]
  private readonly engine: EngineCore

  constructor (isFencingEnforced: boolean) {
    this.engine = EngineCore.create({ clock: VirtualClock.create(), random: SeededRandom.create(1), targetName: 't', isFencingEnforced })
  }

  /** Reads the engine's fencing token and updates the session's token for an order. */
  plan (controller: number, revision: number): string {
    return this.getSession(controller).updateFencingToken(revision, this.engine.getState().fence)
  }

  getSession (controller: number): OrderSession {
    return this.sessions[controller] as OrderSession
  }

  /** Sends an order with a fencing token of the model, and returns whether the engine accepts it. */
  arrive (fencingToken: number): boolean {
    return this.engine.applyOrder({ fence: convertFencingToken(fencingToken), action: 'role', role: 'decode' }).accepted
  }

  getFencingToken (): number {
    return this.engine.getState().fence ?? 0
  }
}

function convertFencingToken (modelToken: number): number {
  return modelToken === 0 ? 0 : computeFirstFencingToken(Math.floor(modelToken / MODEL_FENCING_TOKENS_PER_REVISION)) + modelToken % MODEL_FENCING_TOKENS_PER_REVISION
}

function executeStep (driver: OrdersDriver, name: string, next: OrdersState): void {
  const [action, first = '', second = ''] = name.split(' ')
  const index = Number(first)
  if (action === 'takeOver') driver.getSession(index).restart(0)
  if (action === 'arrive') expect([name, driver.arrive(Number(second))]).toEqual([name, true])
  if (action !== 'plan') return
  const controller = next.controllers[index] as ModelController
  expect([name, driver.plan(index, controller.revision)]).toEqual([name, 'usable'])
  expect([name, driver.getSession(index).getFencingToken()]).toEqual([name, convertFencingToken(controller.fencingToken)])
}

/** Checks that the session refuses to plan and the engine rejects orders wherever the model does. */
function checkRejections (driver: OrdersDriver, state: OrdersState): void {
  const names = ordersModel.listSteps(state, new Set(ordersModel.guards)).map(({ name }) => name)
  for (const [index, controller] of state.controllers.entries()) {
    if (controller.plannedOrders.length === 0 && !names.includes(`plan ${index}`)) expect(driver.plan(index, controller.revision)).not.toBe('usable')
  }
  for (const { revision, fencingToken } of state.orders) {
    if (!names.includes(`arrive ${revision} ${fencingToken}`)) expect(driver.arrive(fencingToken)).toBe(false)
  }
}

describe('OrderSession and EngineCore', () => {
  it('choose fencing tokens and reject orders as the model does', () => {
    const initial = ordersModel.listInitialStates().find(({ fencing }) => fencing === 'enforced') as OrdersState
    const canTakeStep = (name: string, earlier: readonly string[]): boolean => !name.startsWith('takeOver') || countTokenUpdates(earlier) < MODEL_FENCING_TOKENS_PER_REVISION - 1
    let rejections = 0
    for (let seed = 1; seed <= WALK_COUNT; seed++) {
      const { stepNames, states } = createWalk({ model: ordersModel, initial, seed, maxSteps: MAX_STEPS, canTakeStep })
      const driver = new OrdersDriver(true)
      for (const [index, name] of stepNames.entries()) {
        const next = states[index + 1] as OrdersState
        executeStep(driver, name, next)
        checkRejections(driver, next)
        rejections += next.orders.filter(({ fencingToken }) => fencingToken < next.highestFencingToken).length
        expect([seed, name, driver.getFencingToken()]).toEqual([seed, name, convertFencingToken(next.highestFencingToken)])
      }
    }
    expect(rejections).toBeGreaterThan(100)
  })

  it('compute the revision of a fencing token', () => {
    expect(computeFencingTokenRevision(convertFencingToken(2 * MODEL_FENCING_TOKENS_PER_REVISION + 3))).toBe(2)
  })
})

/** Counts the steps that may use a new fencing token. The model runs out of tokens earlier than the product, since it has few per revision. */
function countTokenUpdates (names: readonly string[]): number {
  return names.filter(name => name.startsWith('takeOver') || name.startsWith('plan')).length
}
