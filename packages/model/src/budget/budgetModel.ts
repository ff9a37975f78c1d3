import { type Model, type Step } from '../explore/Model.js'

/** State of instances that divide a number of attempts among them without agreement. */
export interface BudgetState {
  /** Instances that each one sees now, itself included. */
  readonly visible: readonly number[]
  /** Most instances that each one has seen lately. */
  readonly largest: readonly number[]
  /** Attempts that each one has made in the window. */
  readonly spent: readonly number[]
}

type Guards = ReadonlySet<string>
type Action = (state: BudgetState, guards: Guards) => ReadonlyArray<Step<BudgetState>>

const INSTANCES = [0, 1, 2]
const FLEET_SIZE = INSTANCES.length

/** Attempts that are allowed in a window, over all instances. */
const ALLOWED = 6

/** An instance sees others no more. */
const partition: Action = state => INSTANCES
  .filter(own => getAt(state.visible, own) === FLEET_SIZE)
  .map(own => ({ name: `partition ${own}`, next: { ...state, visible: setAt(state.visible, own, 1) } }))

/** An instance sees all others again. */
const heal: Action = state => INSTANCES
  .filter(own => getAt(state.visible, own) === 1)
  .map(own => ({ name: `heal ${own}`, next: { ...state, visible: setAt(state.visible, own, FLEET_SIZE), largest: setAt(state.largest, own, FLEET_SIZE) } }))

const take: Action = (state, guards) => INSTANCES
  .filter(own => getAt(state.spent, own) < Math.floor(ALLOWED / countFleet(state, own, guards)))
  .map(own => ({ name: `take ${own}`, next: { ...state, spent: setAt(state.spent, own, getAt(state.spent, own) + 1) } }))

function countFleet (state: BudgetState, own: number, guards: Guards): number {
  const { largest, visible } = state
  if (!guards.has('dividedByFleet')) return 1
  return getAt(guards.has('rememberLargest') ? largest : visible, own)
}

function getAt (values: readonly number[], index: number): number {
  return values[index] as number
}

function setAt (values: readonly number[], index: number, value: number): readonly number[] {
  return values.map((other, place) => place === index ? value : other)
}

const ACTIONS: readonly Action[] = [partition, heal, take]
const GUARDS = ['rememberLargest', 'dividedByFleet']
const FULL = INSTANCES.map(() => FLEET_SIZE)

/** Model of a budget that holds over all instances while some do not see others. */
export const budgetModel: Model<BudgetState> = {
  name: 'budget',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removed: [guard] })),
  invariants: {
    sumIsAllowed: ({ spent }) => spent.reduce((sum, count) => sum + count, 0) <= ALLOWED
  },
  listInitial: () => [{ visible: FULL, largest: FULL, spent: INSTANCES.map(() => 0) }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
