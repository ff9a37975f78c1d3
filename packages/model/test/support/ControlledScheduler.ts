import { type Clock, type Target } from '@fescuespoke/common'
import { type Placement, type PlacementRefusal, type PlacementRequest, type Scheduler } from '@fescuespoke/scheduling'
import { Result } from 'true-myth'

type PlacementResult = Result<Placement, PlacementRefusal>

/** A scheduler that answers when a test calls `place` or `refuse`, at the request's deadline, or when the request is cancelled. */
export class ControlledScheduler implements Scheduler {
  private request: PlacementRequest | undefined
  private resolvePlacement: (placed: PlacementResult) => void = () => undefined

  constructor (private readonly clock: Clock) {}

  async acquirePlacement (request: PlacementRequest): Promise<PlacementResult> {
    this.request = request
    return await new Promise(resolve => {
      this.resolvePlacement = resolve
      const refuse = (reason: PlacementRefusal['reason']) => () => resolve(Result.err({ reason, detail: 'not placed' }))
      this.clock.startTimer(request.deadlineMs - this.clock.nowMs(), refuse('deadlineExceeded'))
      request.signal.addEventListener('abort', refuse('cancelledByCaller'))
      if (request.signal.aborted) refuse('cancelledByCaller')()
    })
  }

  /** Places the pending request on the first target that has not failed. */
  place (): void {
    const { service, snapshot, failedTargets } = this.request as PlacementRequest
    const name = service.targets.find(target => !failedTargets.includes(target)) as string
    this.resolvePlacement(Result.ok({
      target: snapshot.targets.get(name) as Target,
      detail: 'placed by the test',
      observeTokens: () => undefined,
      observePreemption: () => undefined,
      release: () => undefined
    }))
  }

  /** Refuses the pending request because no target is available. */
  refuse (): void {
    this.resolvePlacement(Result.err({ reason: 'noTarget', detail: 'none left' }))
  }
}
