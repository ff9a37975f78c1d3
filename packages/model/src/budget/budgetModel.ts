import { type Model, type Step } from '../explore/Model.js'

/** State of instances that divide a number of attempts among them without agreement. */
export interface BudgetState {
  /** Instances that each one sees now, itself included. */
  readonly visible: readonly number[]
  /** Most instances that each one has seen lately; 0 while it has seen none since its start. */
  readonly largest: readonly number[]
  /** Attempts that each one has made in the window. */
  readonly spent: readonly number[]
  /** Those of them that it remembers. */
  readonly remembered: readonly number[]
  /** Whether each one was started again in the window. */
  readonly isFresh: readonly boolean[]
}

type Guards = ReadonlySet<string>
type Action = (state: BudgetState, guards: Guards) => ReadonlyArray<Step<BudgetState>>

const INSTANCES = [0, 1, 2]
const FLEET_SIZE = INSTANCES.length

/** Attempts that are allowed in a window, over all instances. */
const ALLOWED = 10

/** Those of them that may be used for repeated requests. */
const USABLE = 6

/** A process that has been started again has its share divided by this. */
const FRESH_DIVISOR = 2

/** An instance sees others no more. */
const partition: Action = state => INSTANCES
  .filter(own => getAt(state.visible, own) === FLEET_SIZE)
  .map(own => ({ name: `partition ${own}`, next: { ...state, visible: setAt(state.visible, own, 1) } }))

/** An instance sees all others again. */
const heal: Action = state => INSTANCES
  .filter(own => getAt(state.visible, own) === 1)
  .map(own => ({ name: `heal ${own}`, next: { ...state, visible: setAt(state.visible, own, FLEET_SIZE), largest: setAt(state.largest, own, FLEET_SIZE) } }))

/** An instance starts again, once in a window: it remembers nothing and sees nobody yet. */
const restart: Action = state => INSTANCES
  .filter(own => !getAt(state.isFresh, own))
  .map(own => ({
    name: `restart ${own}`,
    next: { ...state, visible: setAt(state.visible, own, 1), largest: setAt(state.largest, own, 0), remembered: setAt(state.remembered, own, 0), isFresh: setAt(state.isFresh, own, true) }
  }))

const take: Action = (state, guards) => INSTANCES
  .filter(own => getAt(state.remembered, own) < computeShare(state, own, guards))
  .map(own => ({
    name: `take ${own}`,
    next: { ...state, spent: setAt(state.spent, own, getAt(state.spent, own) + 1), remembered: setAt(state.remembered, own, getAt(state.remembered, own) + 1) }
  }))

function computeShare (state: BudgetState, own: number, guards: Guards): number {
  const isHalved = getAt(state.isFresh, own) && guards.has('halfWhenFresh')
  const count = countFleet(state, own, guards)
  return count === 0 ? 0 : Math.floor(USABLE / (isHalved ? FRESH_DIVISOR : 1) / count)
}

function countFleet ({ largest, visible }: BudgetState, own: number, guards: Guards): number {
  if (!guards.has('dividedByFleet')) return 1
  if (getAt(largest, own) === 0) return guards.has('unknownUntilJoined') ? 0 : 1
  return getAt(guards.has('rememberLargest') ? largest : visible, own)
}

function getAt<T> (values: readonly T[], index: number): T {
  return values[index] as T
}

function setAt<T> (values: readonly T[], index: number, value: T): readonly T[] {
  return values.map((other, place) => place === index ? value : other)
}

const ACTIONS: readonly Action[] = [partition, heal, restart, take]
const GUARDS = ['rememberLargest', 'dividedByFleet', 'halfWhenFresh', 'unknownUntilJoined']
const NONE = INSTANCES.map(() => 0)
const FULL = INSTANCES.map(() => FLEET_SIZE)

/** Model of a budget that holds over all instances while some do not see others or start again. */
export const budgetModel: Model<BudgetState> = {
  name: 'budget',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removed: [guard] })),
  invariants: {
    sumIsAllowed: ({ spent }) => spent.reduce((sum, count) => sum + count, 0) <= ALLOWED
  },
  listInitial: () => [{ visible: FULL, largest: FULL, spent: NONE, remembered: NONE, isFresh: INSTANCES.map(() => false) }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
