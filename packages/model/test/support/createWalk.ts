import { pickIndex, SeededRandom } from '@fescuespoke/common'
import { type Model, type Step } from '../../src/index.js'

/** A random walk through the states of a model. */
export interface Walk<S> {
  readonly stepNames: string[]
  readonly states: S[]
}

/** Options of {@link createWalk}. */
export interface WalkOptions<S> {
  readonly model: Model<S>
  readonly initial: S
  readonly seed: number
  /** Maximum number of steps. */
  readonly maxSteps: number
  /** Returns whether a step may follow the earlier steps. Defaults to allowing every enabled step. */
  readonly canTakeStep?: (name: string, earlier: readonly string[]) => boolean
}

/** Factor that spreads consecutive seeds, whose first random numbers would otherwise be close together. */
const SEED_FACTOR = 0x9E3779B1

/** Creates a random walk. Each enabled action is equally likely, regardless of its number of steps. */
export function createWalk<S> (options: WalkOptions<S>): Walk<S> {
  const { model, initial, seed, maxSteps, canTakeStep = () => true } = options
  const random = SeededRandom.create(seed * SEED_FACTOR)
  const guards = new Set(model.guards)
  const walk: Walk<S> = { stepNames: [], states: [initial] }
  while (walk.stepNames.length < maxSteps) {
    const steps = model.listSteps(walk.states.at(-1) as S, guards).filter(({ name }) => canTakeStep(name, walk.stepNames))
    if (steps.length === 0) return walk
    const actions = [...new Set(steps.map(getAction))]
    const action = actions[pickIndex(random, actions.length)]
    const candidates = steps.filter(step => getAction(step) === action)
    const step = candidates[pickIndex(random, candidates.length)] as Step<S>
    walk.stepNames.push(step.name)
    walk.states.push(step.next)
  }
  return walk
}

function getAction ({ name }: Step<unknown>): string {
  return name.split(' ')[0] as string
}
