import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { EngineCore } from '@fescuespoke/standins'
import { describe, expect, it } from 'vitest'
import { computeFencingTokenRevision, computeFirstFencingToken } from '../../../configuration/src/orders/FencingToken.js'
import { OrderSession } from '../../../configuration/src/orders/OrderSession.js'
import { type ModelGiver, ordersModel, type OrdersState } from '../../src/index.js'
import { createWalk } from '../support/createWalk.js'

const WALKS = 100
const STEPS = 50

/** Fencing numbers of one revision in the model. */
const MODEL_FENCES = 4

/** The code's sessions of two order givers and an engine under the steps of a trace. */
class RealOrders {
  readonly sessions = [OrderSession.create(0), OrderSession.create(0)]
  private readonly engine: EngineCore

  constructor (enforcesFences: boolean) {
    this.engine = EngineCore.create({ clock: VirtualClock.create(), random: SeededRandom.create(1), targetName: 't', enforcesFences })
  }

  /** Reads the engine's fencing number and chooses one for an order. */
  plan (giver: number, revision: number): string {
    return this.getSession(giver).updateFencingToken(revision, this.engine.getState().fence)
  }

  getSession (giver: number): OrderSession {
    return this.sessions[giver] as OrderSession
  }

  /** Gives an order with a fencing number of the model; tells whether the engine carries it out. */
  arrive (fence: number): boolean {
    return this.engine.giveOrder({ fence: convertFence(fence), action: 'role', role: 'decode' }).accepted
  }

  getFence (): number {
    return this.engine.getState().fence ?? 0
  }
}

function convertFence (fence: number): number {
  return fence === 0 ? 0 : computeFirstFencingToken(Math.floor(fence / MODEL_FENCES)) + fence % MODEL_FENCES
}

function takeStep (real: RealOrders, name: string, next: OrdersState): void {
  const [action, first = '', second = ''] = name.split(' ')
  const index = Number(first)
  if (action === 'takeOver') real.getSession(index).restart(0)
  if (action === 'arrive') expect([name, real.arrive(Number(second))]).toEqual([name, true])
  if (action !== 'plan') return
  const giver = next.givers[index] as ModelGiver
  expect([name, real.plan(index, giver.revision)]).toEqual([name, 'usable'])
  expect([name, real.getSession(index).getFencingToken()]).toEqual([name, convertFence(giver.fence)])
}

/** The code refuses to plan, and the engine refuses orders, where the model does. */
function checkRefusals (real: RealOrders, state: OrdersState): void {
  const names = ordersModel.listSteps(state, new Set(ordersModel.guards)).map(({ name }) => name)
  for (const [index, giver] of state.givers.entries()) {
    if (giver.planned.length === 0 && !names.includes(`plan ${index}`)) expect(real.plan(index, giver.revision)).not.toBe('usable')
  }
  for (const { revision, fence } of state.orders) {
    if (!names.includes(`arrive ${revision} ${fence}`)) expect(real.arrive(fence)).toBe(false)
  }
}

describe('order sessions and engines', () => {
  it('choose fencing numbers and refuse orders as the model does', () => {
    const initial = ordersModel.listInitial().find(({ fencing }) => fencing === 'enforced') as OrdersState
    const canTake = (name: string, earlier: readonly string[]): boolean => !name.startsWith('takeOver') || countTakeovers(earlier) < MODEL_FENCES - 1
    let refusals = 0
    for (let seed = 1; seed <= WALKS; seed++) {
      const { names, states } = createWalk({ model: ordersModel, initial, seed, length: STEPS, canTake })
      const real = new RealOrders(true)
      for (const [index, name] of names.entries()) {
        const next = states[index + 1] as OrdersState
        takeStep(real, name, next)
        checkRefusals(real, next)
        refusals += next.orders.filter(({ fence }) => fence < next.fence).length
        expect([seed, name, real.getFence()]).toEqual([seed, name, convertFence(next.fence)])
      }
    }
    expect(refusals).toBeGreaterThan(100)
  })

  it('tell a revision by its fencing number', () => {
    expect(computeFencingTokenRevision(convertFence(2 * MODEL_FENCES + 3))).toBe(2)
  })
})

/** A model with few fencing numbers in a revision runs out of them where the code does not. */
function countTakeovers (names: readonly string[]): number {
  return names.filter(name => name.startsWith('takeOver') || name.startsWith('plan')).length
}
