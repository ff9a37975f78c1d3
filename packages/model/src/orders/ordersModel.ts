import { createCanonicalSet } from '../explore/createCanonicalSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** An order that is planned or in transit. */
export interface ModelOrder {
  readonly revision: number
  readonly fencingToken: number
  /** Ticks since the target's state was read (planned order) or since the order was sent. */
  readonly ageTicks: number
}

/** One of two instances that both act as the placement controller of a target. */
export interface ModelController {
  /** Accepted revision of the records. */
  readonly revision: number
  /** Ticks since this revision was last confirmed to be the highest. */
  readonly ageTicks: number
  /** Current fencing token; 0 after a takeover or a pause. */
  readonly fencingToken: number
  /** Orders that are waiting to be sent: one or none. */
  readonly plannedOrders: readonly ModelOrder[]
}

/** State of two placement controllers and one target. */
export interface OrdersState {
  readonly fencing: 'enforced' | 'ignored'
  /** Highest published revision. */
  readonly publishedRevision: number
  /** Ticks since the highest revision was published. */
  readonly publishedTicks: number
  readonly controllers: readonly ModelController[]
  /** Orders in transit. Each may arrive repeatedly or never. */
  readonly orders: readonly ModelOrder[]
  /** Highest fencing token that the target has accepted. */
  readonly highestFencingToken: number
  /** Revision of the order that the target executed last. */
  readonly executedRevision: number
  /** Whether a target that enforces fencing executed an order of an older revision than before. */
  readonly hasReverted: boolean
  /** Whether a target that ignores fencing executed an order of an old revision after the deadline for such orders. */
  readonly hasLateOrder: boolean
}

type Guards = ReadonlySet<string>
type Action = (state: OrdersState, guards: Guards) => ReadonlyArray<Step<OrdersState>>

const CONTROLLERS = [0, 1]
const LAST_REVISION = 2

/** Number of fencing tokens of one revision. */
const FENCING_TOKENS_PER_REVISION = 4

/** Maximum age of the records that a controller uses for a target that ignores fencing. */
const MAX_RECORDS_AGE_TICKS = 1

/** Maximum time between reading the target's state and sending the order. */
const MAX_PLAN_AGE_TICKS = 1

/** Maximum delivery time of an order. An order that has not arrived by then is dropped with its connection. */
const MAX_DELIVERY_TICKS = 1

/** Time after the publication of a revision until which an order of the previous revision may be executed. */
const OLD_ORDER_DEADLINE_TICKS = MAX_RECORDS_AGE_TICKS + MAX_PLAN_AGE_TICKS + MAX_DELIVERY_TICKS

/** Value at which the time since the publication stops increasing, to keep the number of states finite. */
const MAX_PUBLISHED_TICKS = OLD_ORDER_DEADLINE_TICKS + 1

/** Value at which the age of records, planned orders and sent orders stops increasing, to keep the number of states finite. */
const MAX_AGE_TICKS = 2

const publish: Action = state => state.publishedRevision < LAST_REVISION
  ? [{ name: 'publish', next: { ...state, publishedRevision: state.publishedRevision + 1, publishedTicks: 0 } }]
  : []

/** Time passes. The rules for a target that enforces fencing do not depend on time, so its ticks are omitted. */
const tick: Action = state => state.fencing === 'enforced'
  ? []
  : [{
      name: 'tick',
      next: {
        ...state,
        publishedTicks: Math.min(MAX_PUBLISHED_TICKS, state.publishedTicks + 1),
        controllers: state.controllers.map(controller => ({ ...controller, ageTicks: addTick(controller.ageTicks), plannedOrders: controller.plannedOrders.map(ageOrder) })),
        orders: createCanonicalSet(state.orders.map(ageOrder))
      }
    }]

function ageOrder (order: ModelOrder): ModelOrder {
  return { ...order, ageTicks: addTick(order.ageTicks) }
}

function addTick (ticks: number): number {
  return Math.min(MAX_AGE_TICKS, ticks + 1)
}

/** A controller receives the highest revision from the platform or a peer. */
const confirm: Action = state => CONTROLLERS.map(index => ({
  name: `confirm ${index}`,
  next: setController(state, index, { revision: state.publishedRevision, ageTicks: 0 })
}))

/** A controller takes over the target again, as after a pause or a change of membership. */
const takeOver: Action = state => CONTROLLERS
  .filter(index => state.fencing === 'enforced' && getController(state, index).fencingToken !== 0)
  .map(index => ({ name: `takeOver ${index}`, next: setController(state, index, { fencingToken: 0 }) }))

/** A controller reads the target's state, chooses its fencing token and plans the order of its revision. */
const plan: Action = (state, guards) => CONTROLLERS.flatMap(index => {
  const controller = getController(state, index)
  if (controller.plannedOrders.length > 0 || !canPlan(state, controller, guards)) return []
  const fencingToken = chooseFencingToken(controller, state.highestFencingToken, guards)
  const plannedOrders = [{ revision: controller.revision, fencingToken, ageTicks: 0 }]
  return [{ name: `plan ${index}`, next: setController(state, index, { fencingToken, plannedOrders }) }]
})

function canPlan ({ fencing, highestFencingToken }: OrdersState, controller: ModelController, guards: Guards): boolean {
  if (fencing === 'ignored') return controller.ageTicks <= MAX_RECORDS_AGE_TICKS || !guards.has('recordsAge')
  if (guards.has('higherRevision') && getFencingTokenRevision(highestFencingToken) > controller.revision) return false
  return getFencingTokenRevision(controller.fencingToken) !== controller.revision || highestFencingToken <= controller.fencingToken
}

function chooseFencingToken (controller: ModelController, reportedToken: number, guards: Guards): number {
  if (getFencingTokenRevision(controller.fencingToken) === controller.revision) return controller.fencingToken
  if (!guards.has('fencingTokenFromRevision')) return Math.max(1, reportedToken) + 1
  const firstToken = controller.revision * FENCING_TOKENS_PER_REVISION
  return Math.min(firstToken + FENCING_TOKENS_PER_REVISION - 1, Math.max(firstToken, reportedToken + 1))
}

function getFencingTokenRevision (fencingToken: number): number {
  return Math.floor(fencingToken / FENCING_TOKENS_PER_REVISION)
}

/** A planned order is sent, or is dropped after a pause or a change of the records. */
const send: Action = (state, guards) => CONTROLLERS.flatMap(index => {
  const controller = getController(state, index)
  const order = controller.plannedOrders[0]
  if (order === undefined) return []
  const isFresh = order.ageTicks <= MAX_PLAN_AGE_TICKS || !guards.has('planAge')
  const clearedState = setController(state, index, { plannedOrders: [] })
  if (!isFresh || order.revision !== controller.revision) return [{ name: `drop ${index}`, next: clearedState }]
  return [{ name: `send ${index}`, next: { ...clearedState, orders: createCanonicalSet([...state.orders, { ...order, ageTicks: 0 }]) } }]
})

/** An order arrives at the target and is executed. An order that the target refuses does not change the state. */
const arrive: Action = (state, guards) => state.orders
  .filter(order => ACCEPTANCE_RULES[state.fencing](state, order, guards))
  .map(order => ({ name: `arrive ${order.revision} ${order.fencingToken}`, next: executeOrder(state, order) }))

const ACCEPTANCE_RULES: Record<OrdersState['fencing'], (state: OrdersState, order: ModelOrder, guards: Guards) => boolean> = {
  enforced: (state, order, guards) => order.fencingToken >= state.highestFencingToken || !guards.has('fencingTokenCheck'),
  ignored: (_state, order, guards) => order.ageTicks <= MAX_DELIVERY_TICKS || !guards.has('deliveryTime')
}

function executeOrder (state: OrdersState, { revision, fencingToken }: ModelOrder): OrdersState {
  const next = { ...state, executedRevision: revision }
  if (state.fencing === 'enforced') return { ...next, highestFencingToken: fencingToken, hasReverted: state.hasReverted || revision < state.executedRevision }
  const isLate = revision < state.publishedRevision && state.publishedTicks > OLD_ORDER_DEADLINE_TICKS
  return { ...next, hasLateOrder: state.hasLateOrder || isLate }
}

function getController (state: OrdersState, index: number): ModelController {
  return state.controllers[index] as ModelController
}

function setController (state: OrdersState, index: number, fields: Partial<ModelController>): OrdersState {
  return { ...state, controllers: state.controllers.map((controller, other) => other === index ? { ...controller, ...fields } : controller) }
}

const ACTIONS: readonly Action[] = [publish, tick, confirm, takeOver, plan, send, arrive]
const INITIAL_CONTROLLER: ModelController = { revision: 1, ageTicks: 0, fencingToken: 0, plannedOrders: [] }

/** Model of placement orders to targets that enforce or ignore fencing tokens. */
export const ordersModel: Model<OrdersState> = {
  name: 'orders',
  guards: ['fencingTokenCheck', 'fencingTokenFromRevision', 'higherRevision', 'recordsAge', 'planAge', 'deliveryTime'],
  mutants: [
    { name: 'fencingTokenCheck', removedGuards: ['fencingTokenCheck'] },
    { name: 'fencingTokenFromRevision and higherRevision', removedGuards: ['fencingTokenFromRevision', 'higherRevision'] },
    { name: 'recordsAge', removedGuards: ['recordsAge'] },
    { name: 'planAge', removedGuards: ['planAge'] },
    { name: 'deliveryTime', removedGuards: ['deliveryTime'] }
  ],
  invariants: {
    fencingRejectsOldOrders: state => !state.hasReverted,
    oldOrdersExpire: state => !state.hasLateOrder
  },
  listInitialStates: () => (['enforced', 'ignored'] as const).map(fencing => ({
    fencing,
    publishedRevision: 1,
    publishedTicks: 0,
    controllers: [INITIAL_CONTROLLER, INITIAL_CONTROLLER],
    orders: [],
    highestFencingToken: 0,
    executedRevision: 0,
    hasReverted: false,
    hasLateOrder: false
  })),
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
