import { pickIndex, SeededRandom } from '@fescuespoke/common'
import { type Model, type Step } from '../../src/index.js'

/** Random steps of a model and the states between them. */
export interface Walk<S> {
  readonly names: string[]
  readonly states: S[]
}

/** Options of a walk. */
export interface WalkOptions<S> {
  readonly model: Model<S>
  readonly initial: S
  readonly seed: number
  /** Most steps. */
  readonly length: number
  /** Tells whether a step may be taken after others. */
  readonly canTake?: (name: string, earlier: readonly string[]) => boolean
}

/** Spreads consecutive seeds, whose first random numbers lie close together. */
const SEED_FACTOR = 0x9E3779B1

/** Takes random steps; each action that is enabled is as likely as the others. */
export function createWalk<S> (options: WalkOptions<S>): Walk<S> {
  const { model, initial, seed, length, canTake = () => true } = options
  const random = SeededRandom.create(seed * SEED_FACTOR)
  const guards = new Set(model.guards)
  const walk: Walk<S> = { names: [], states: [initial] }
  while (walk.names.length < length) {
    const steps = model.listSteps(walk.states.at(-1) as S, guards).filter(({ name }) => canTake(name, walk.names))
    if (steps.length === 0) return walk
    const actions = [...new Set(steps.map(getAction))]
    const action = actions[pickIndex(random, actions.length)]
    const candidates = steps.filter(step => getAction(step) === action)
    const step = candidates[pickIndex(random, candidates.length)] as Step<S>
    walk.names.push(step.name)
    walk.states.push(step.next)
  }
  return walk
}

function getAction ({ name }: Step<unknown>): string {
  return name.split(' ')[0] as string
}
