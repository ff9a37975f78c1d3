import { type Clock, type Target } from '@fescuespoke/common'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from '@fescuespoke/scheduling'
import { Result } from 'true-myth'

type Placed = Result<Placement, PlacementRefusal>

/** A scheduler that answers when a test says so, at the request's deadline, or when the request is cancelled. */
export class ControlledScheduler implements Scheduler {
  private request: PlacementRequest | undefined
  private answer: (placed: Placed) => void = () => undefined

  constructor (private readonly clock: Clock) {}

  async acquirePlacement (request: PlacementRequest): Promise<Placed> {
    this.request = request
    return await new Promise(resolve => {
      this.answer = resolve
      const refuse = (reason: PlacementRefusal['reason']) => () => resolve(Result.err({ reason, detail: 'not placed' }))
      this.clock.startTimer(request.deadlineMs - this.clock.nowMs(), refuse('deadlineExceeded'))
      request.signal.addEventListener('abort', refuse('cancelledByCaller'))
      if (request.signal.aborted) refuse('cancelledByCaller')()
    })
  }

  /** Places the waiting request on the first target that has not failed. */
  place (): void {
    const { service, snapshot, failedTargets } = this.request as PlacementRequest
    const name = service.targets.find(target => !failedTargets.includes(target)) as string
    this.answer(Result.ok({
      target: snapshot.targets.get(name) as Target,
      detail: 'placed by the test',
      observeTokens: () => undefined,
      observePreemption: () => undefined,
      release: () => undefined
    }))
  }

  /** Finds no target for the waiting request. */
  refuse (): void {
    this.answer(Result.err({ reason: 'noTarget', detail: 'none left' }))
  }
}
