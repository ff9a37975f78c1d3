import { createSet } from '../explore/createSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** An order that is planned, or on its way. */
export interface ModelOrder {
  readonly revision: number
  readonly fence: number
  /** Ticks since the target's state was read, or since the order left. */
  readonly ageTicks: number
}

/** One of two instances that take themselves for the order giver of a target. */
export interface ModelGiver {
  /** Accepted revision. */
  readonly revision: number
  /** Ticks since that revision was known to be the highest. */
  readonly ageTicks: number
  /** Fencing number in use; 0 after a takeover or a pause. */
  readonly fence: number
  /** Orders that wait to be sent: one or none. */
  readonly planned: readonly ModelOrder[]
}

/** State of two order givers and one target. */
export interface OrdersState {
  readonly fencing: 'enforced' | 'ignored'
  readonly published: number
  /** Ticks since the latest revision was published. */
  readonly publishedTicks: number
  readonly givers: readonly ModelGiver[]
  readonly orders: readonly ModelOrder[]
  /** Highest fencing number that the target has accepted. */
  readonly fence: number
  /** Revision of the order that the target carried out last. */
  readonly carriedOut: number
  /** Whether an enforcing target went back to an older revision. */
  readonly hasReverted: boolean
  /** Whether a target that ignores fencing carried out an old order too late. */
  readonly hasLateOrder: boolean
}

type Guards = ReadonlySet<string>
type Action = (state: OrdersState, guards: Guards) => ReadonlyArray<Step<OrdersState>>

const GIVERS = [0, 1]
const LAST_REVISION = 2

/** Fencing numbers of one revision. */
const FENCES_PER_REVISION = 4

/** Age up to which a giver relies on its records towards a target that ignores fencing. */
const RECORDS_TICKS = 1

/** Longest time from reading a target's state to the order. */
const STEP_TICKS = 1

/** Time after which an order that has not arrived is dropped with its connection. */
const DELIVERY_TICKS = 1

/** Latest moment for an order of the revision before, in ticks since the publication. */
const LAST_ORDER_TICKS = RECORDS_TICKS + STEP_TICKS + DELIVERY_TICKS

/** Time after a publication from which on ticks are no longer counted. */
const LONG_PUBLISHED_TICKS = LAST_ORDER_TICKS + 1

/** Age of records, plans and orders from which on ticks are no longer counted. */
const OLD_TICKS = 2

const publish: Action = state => state.published < LAST_REVISION
  ? [{ name: 'publish', next: { ...state, published: state.published + 1, publishedTicks: 0 } }]
  : []

/** Time passes; towards a target that enforces fencing nothing rests on it. */
const tick: Action = state => state.fencing === 'enforced'
  ? []
  : [{
      name: 'tick',
      next: {
        ...state,
        publishedTicks: Math.min(LONG_PUBLISHED_TICKS, state.publishedTicks + 1),
        givers: state.givers.map(giver => ({ ...giver, ageTicks: addTick(giver.ageTicks), planned: giver.planned.map(ageOrder) })),
        orders: createSet(state.orders.map(ageOrder))
      }
    }]

function ageOrder (order: ModelOrder): ModelOrder {
  return { ...order, ageTicks: addTick(order.ageTicks) }
}

function addTick (ticks: number): number {
  return Math.min(OLD_TICKS, ticks + 1)
}

/** A giver hears from the platform or a peer which revision is the highest. */
const confirm: Action = state => GIVERS.map(index => ({
  name: `confirm ${index}`,
  next: setGiver(state, index, { revision: state.published, ageTicks: 0 })
}))

/** A giver takes the target over again, as after a pause or a change of membership. */
const takeOver: Action = state => GIVERS
  .filter(index => state.fencing === 'enforced' && getGiver(state, index).fence !== 0)
  .map(index => ({ name: `takeOver ${index}`, next: setGiver(state, index, { fence: 0 }) }))

/** A giver reads the target's state, chooses its fencing number and plans the order of its revision. */
const plan: Action = (state, guards) => GIVERS.flatMap(index => {
  const giver = getGiver(state, index)
  if (giver.planned.length > 0 || !canPlan(state, giver, guards)) return []
  const fence = pickFence(giver, state.fence, guards)
  const planned = [{ revision: giver.revision, fence, ageTicks: 0 }]
  return [{ name: `plan ${index}`, next: setGiver(state, index, { fence, planned }) }]
})

function canPlan ({ fencing, fence }: OrdersState, giver: ModelGiver, guards: Guards): boolean {
  if (fencing === 'ignored') return giver.ageTicks <= RECORDS_TICKS || !guards.has('recordsAge')
  if (guards.has('higherRevision') && getFenceRevision(fence) > giver.revision) return false
  return getFenceRevision(giver.fence) !== giver.revision || fence <= giver.fence
}

function pickFence (giver: ModelGiver, reported: number, guards: Guards): number {
  if (getFenceRevision(giver.fence) === giver.revision) return giver.fence
  if (!guards.has('fenceFromRevision')) return Math.max(1, reported) + 1
  const first = giver.revision * FENCES_PER_REVISION
  return Math.min(first + FENCES_PER_REVISION - 1, Math.max(first, reported + 1))
}

function getFenceRevision (fence: number): number {
  return Math.floor(fence / FENCES_PER_REVISION)
}

/** A planned order leaves, or is dropped after a pause or a change of the records. */
const send: Action = (state, guards) => GIVERS.flatMap(index => {
  const giver = getGiver(state, index)
  const order = giver.planned[0]
  if (order === undefined) return []
  const isFresh = order.ageTicks <= STEP_TICKS || !guards.has('stepAge')
  const cleared = setGiver(state, index, { planned: [] })
  if (!isFresh || order.revision !== giver.revision) return [{ name: `drop ${index}`, next: cleared }]
  return [{ name: `send ${index}`, next: { ...cleared, orders: createSet([...state.orders, { ...order, ageTicks: 0 }]) } }]
})

/** An order arrives at the target, which refuses it, or carries it out. */
const arrive: Action = (state, guards) => state.orders
  .filter(order => CARRIES_OUT[state.fencing](state, order, guards))
  .map(order => ({ name: `arrive ${order.revision} ${order.fence}`, next: carryOut(state, order) }))

const CARRIES_OUT: Record<OrdersState['fencing'], (state: OrdersState, order: ModelOrder, guards: Guards) => boolean> = {
  enforced: (state, order, guards) => order.fence >= state.fence || !guards.has('fenceChecked'),
  ignored: (_state, order, guards) => order.ageTicks <= DELIVERY_TICKS || !guards.has('deliveryTime')
}

function carryOut (state: OrdersState, { revision, fence }: ModelOrder): OrdersState {
  const next = { ...state, carriedOut: revision }
  if (state.fencing === 'enforced') return { ...next, fence, hasReverted: state.hasReverted || revision < state.carriedOut }
  const isLate = revision < state.published && state.publishedTicks > LAST_ORDER_TICKS
  return { ...next, hasLateOrder: state.hasLateOrder || isLate }
}

function getGiver (state: OrdersState, index: number): ModelGiver {
  return state.givers[index] as ModelGiver
}

function setGiver (state: OrdersState, index: number, fields: Partial<ModelGiver>): OrdersState {
  return { ...state, givers: state.givers.map((giver, other) => other === index ? { ...giver, ...fields } : giver) }
}

const ACTIONS: readonly Action[] = [publish, tick, confirm, takeOver, plan, send, arrive]
const FIRST_GIVER: ModelGiver = { revision: 1, ageTicks: 0, fence: 0, planned: [] }

/** Model of orders to targets that enforce fencing numbers or ignore them. */
export const ordersModel: Model<OrdersState> = {
  name: 'orders',
  guards: ['fenceChecked', 'fenceFromRevision', 'higherRevision', 'recordsAge', 'stepAge', 'deliveryTime'],
  mutants: [
    { name: 'fenceChecked', removed: ['fenceChecked'] },
    { name: 'fenceFromRevision and higherRevision', removed: ['fenceFromRevision', 'higherRevision'] },
    { name: 'recordsAge', removed: ['recordsAge'] },
    { name: 'stepAge', removed: ['stepAge'] },
    { name: 'deliveryTime', removed: ['deliveryTime'] }
  ],
  invariants: {
    fenceKeepsOldOrdersOut: state => !state.hasReverted,
    oldOrdersEndSoon: state => !state.hasLateOrder
  },
  listInitial: () => (['enforced', 'ignored'] as const).map(fencing => ({
    fencing,
    published: 1,
    publishedTicks: 0,
    givers: [FIRST_GIVER, FIRST_GIVER],
    orders: [],
    fence: 0,
    carriedOut: 0,
    hasReverted: false,
    hasLateOrder: false
  })),
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
