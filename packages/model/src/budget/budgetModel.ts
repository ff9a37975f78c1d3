import { type Model, type Step } from '../explore/Model.js'

/** State of instances that share a budget of attempts without coordination. */
export interface BudgetState {
  /** Number of instances that are currently visible to each instance, including itself. */
  readonly visibleInstances: readonly number[]
  /** Maximum number of instances that were recently visible to each instance; 0 until the instance has joined others since its start. */
  readonly maxVisibleInstances: readonly number[]
  /** Number of attempts that each instance has made in the window. */
  readonly spentAttempts: readonly number[]
  /** Number of attempts in the window that each instance has counted since its last start. */
  readonly countedAttempts: readonly number[]
  /** Whether each instance has restarted in the window. */
  readonly isRestarted: readonly boolean[]
}

type Guards = ReadonlySet<string>
type Action = (state: BudgetState, guards: Guards) => ReadonlyArray<Step<BudgetState>>

const INSTANCES = [0, 1, 2]
const FLEET_SIZE = INSTANCES.length

/** Maximum number of attempts in a window, over all instances. */
const MAX_ATTEMPTS = 10

/** Part of the maximum that may be used for repeated requests. */
const MAX_RETRY_ATTEMPTS = 6

/** Divisor of the share of an instance that has restarted in the window. */
const RESTART_DIVISOR = 2

/** An instance is partitioned from all others. */
const partition: Action = state => INSTANCES
  .filter(instance => getAt(state.visibleInstances, instance) === FLEET_SIZE)
  .map(instance => ({ name: `partition ${instance}`, next: { ...state, visibleInstances: setAt(state.visibleInstances, instance, 1) } }))

/** The partition heals, and all instances are visible to the instance again. */
const heal: Action = state => INSTANCES
  .filter(instance => getAt(state.visibleInstances, instance) === 1)
  .map(instance => ({
    name: `heal ${instance}`,
    next: {
      ...state,
      visibleInstances: setAt(state.visibleInstances, instance, FLEET_SIZE),
      maxVisibleInstances: setAt(state.maxVisibleInstances, instance, FLEET_SIZE)
    }
  }))

/** An instance restarts, at most once in a window. Its counts are lost, and no other instance is visible to it yet. */
const restart: Action = state => INSTANCES
  .filter(instance => !getAt(state.isRestarted, instance))
  .map(instance => ({
    name: `restart ${instance}`,
    next: {
      ...state,
      visibleInstances: setAt(state.visibleInstances, instance, 1),
      maxVisibleInstances: setAt(state.maxVisibleInstances, instance, 0),
      countedAttempts: setAt(state.countedAttempts, instance, 0),
      isRestarted: setAt(state.isRestarted, instance, true)
    }
  }))

const spend: Action = (state, guards) => INSTANCES
  .filter(instance => getAt(state.countedAttempts, instance) < computeShare(state, instance, guards))
  .map(instance => ({
    name: `spend ${instance}`,
    next: {
      ...state,
      spentAttempts: setAt(state.spentAttempts, instance, getAt(state.spentAttempts, instance) + 1),
      countedAttempts: setAt(state.countedAttempts, instance, getAt(state.countedAttempts, instance) + 1)
    }
  }))

function computeShare (state: BudgetState, instance: number, guards: Guards): number {
  const isHalved = getAt(state.isRestarted, instance) && guards.has('halveAfterRestart')
  const divisor = getShareDivisor(state, instance, guards)
  return divisor === 0 ? 0 : Math.floor(MAX_RETRY_ATTEMPTS / (isHalved ? RESTART_DIVISOR : 1) / divisor)
}

function getShareDivisor ({ maxVisibleInstances, visibleInstances }: BudgetState, instance: number, guards: Guards): number {
  if (!guards.has('divideByFleetSize')) return 1
  if (getAt(maxVisibleInstances, instance) === 0) return guards.has('zeroUntilJoined') ? 0 : 1
  return getAt(guards.has('divideByMaxVisible') ? maxVisibleInstances : visibleInstances, instance)
}

function getAt<T> (values: readonly T[], index: number): T {
  return values[index] as T
}

function setAt<T> (values: readonly T[], index: number, value: T): readonly T[] {
  return values.map((other, position) => position === index ? value : other)
}

const ACTIONS: readonly Action[] = [partition, heal, restart, spend]
const GUARDS = ['divideByMaxVisible', 'divideByFleetSize', 'halveAfterRestart', 'zeroUntilJoined']
const ZEROS = INSTANCES.map(() => 0)
const FULLY_CONNECTED = INSTANCES.map(() => FLEET_SIZE)

/** Model of a budget that holds over all instances despite partitions and restarts. */
export const budgetModel: Model<BudgetState> = {
  name: 'budget',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removedGuards: [guard] })),
  invariants: {
    totalWithinBudget: ({ spentAttempts: spent }) => spent.reduce((sum, count) => sum + count, 0) <= MAX_ATTEMPTS
  },
  listInitialStates: () => [{ visibleInstances: FULLY_CONNECTED, maxVisibleInstances: FULLY_CONNECTED, spentAttempts: ZEROS, countedAttempts: ZEROS, isRestarted: INSTANCES.map(() => false) }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
