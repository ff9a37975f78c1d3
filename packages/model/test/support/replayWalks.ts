import { createRequestsState, type RequestKind, requestsModel } from '../../src/index.js'
import { createWalk } from './createWalk.js'
import { replayRequests } from './replayRequests.js'

const WALK_COUNT = 400
const MAX_STEPS = 25

/** Maximum number of times that the product reopens the lost stream of a generation. */
const MAX_REOPENS = 3

/** Actions after which few steps remain possible. They are only allowed late in a walk. */
const LATE_ACTIONS = ['refuse', 'cancel', 'expireLease', 'beginDrain', 'passDeadline', 'restart']

/** Prefixes of steps that are skipped because they do not affect the owner. */
const SKIPPED_STEPS = ['submit 1', 'submit 2', 'receiveAnswer', 'receiveToken', 'resumeEnd', 'endDrain']

/** Minimum number of steps before a restart, after which the owner does nothing. */
const MIN_STEPS_BEFORE_RESTART = 20

/** Minimum numbers of steps before late actions. The seed selects one of them in rotation. */
const MIN_STEPS_BEFORE_LATE_ACTIONS = [0, 4, 8, 12]

function isReplayable (name: string, earlier: readonly string[], seed: number): boolean {
  const action = name.split(' ')[0] as string
  if (earlier.length < (MIN_STEPS_BEFORE_LATE_ACTIONS[seed % MIN_STEPS_BEFORE_LATE_ACTIONS.length] as number) && LATE_ACTIONS.includes(action)) return false
  if (name.startsWith('reopen')) return earlier.filter(other => other.startsWith('reopen')).length < MAX_REOPENS
  if (action === 'restart') return earlier.length >= MIN_STEPS_BEFORE_RESTART
  return !SKIPPED_STEPS.some(skipped => name.startsWith(skipped))
}

/**
 * Replays random walks of the model on the product's owner.
 * @param kind - How the request is served.
 * @returns The differences found, and the total number of replayed steps.
 */
export async function replayWalks (kind: RequestKind): Promise<{ readonly differences: readonly string[], readonly stepCount: number }> {
  const differences: string[] = []
  let stepCount = 0
  for (let seed = 1; seed <= WALK_COUNT; seed++) {
    const canTakeStep = (name: string, earlier: readonly string[]): boolean => isReplayable(name, earlier, seed)
    const { stepNames, states } = createWalk({ model: requestsModel, initial: createRequestsState(kind), seed, maxSteps: MAX_STEPS, canTakeStep })
    const replayed = await replayRequests(stepNames, states)
    stepCount += replayed.stepCount
    if (replayed.difference !== undefined) differences.push(`seed ${seed}: ${replayed.difference}`)
  }
  return { differences, stepCount }
}
