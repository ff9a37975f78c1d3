import { createRequestsState, type RequestKind, requestsModel } from '../../src/index.js'
import { createWalk } from './createWalk.js'
import { replayRequests } from './replayRequests.js'

const WALKS = 400
const STEPS = 25

/** Most lost streams of one generation that the code opens again. */
const MAX_REOPENS = 3

/** Steps that leave little to do after them, and are taken late in a walk. */
const LATE_STEPS = ['refuse', 'cancel', 'expireLease', 'beginDrain', 'passDeadline', 'restart']

/** Steps that are left out, since they do nothing to the owner. */
const FOREIGN_STEPS = ['submit 1', 'submit 2', 'receiveAnswer', 'receiveToken', 'resumeEnd', 'endDrain']

/** Number of steps before a restart, after which the owner does nothing. */
const RESTART_STEPS = 20

/** Numbers of steps before the late ones, taken in turn. */
const EARLY_STEPS = [0, 4, 8, 12]

function isReplayable (name: string, earlier: readonly string[], seed: number): boolean {
  const action = name.split(' ')[0] as string
  if (earlier.length < (EARLY_STEPS[seed % EARLY_STEPS.length] as number) && LATE_STEPS.includes(action)) return false
  if (name.startsWith('reopen')) return earlier.filter(other => other.startsWith('reopen')).length < MAX_REOPENS
  if (action === 'restart') return earlier.length >= RESTART_STEPS
  return !FOREIGN_STEPS.some(foreign => name.startsWith(foreign))
}

/**
 * Takes random walks of the model on the real owner.
 * @param kind - How the request is served.
 * @returns The differences found, and the number of steps taken.
 */
export async function replayWalks (kind: RequestKind): Promise<{ readonly differences: readonly string[], readonly steps: number }> {
  const differences: string[] = []
  let steps = 0
  for (let seed = 1; seed <= WALKS; seed++) {
    const canTake = (name: string, earlier: readonly string[]): boolean => isReplayable(name, earlier, seed)
    const { names, states } = createWalk({ model: requestsModel, initial: createRequestsState(kind), seed, length: STEPS, canTake })
    const replayed = await replayRequests(names, states)
    steps += replayed.steps
    if (replayed.difference !== undefined) differences.push(`seed ${seed}: ${replayed.difference}`)
  }
  return { differences, steps }
}
