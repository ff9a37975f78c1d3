/**
 * Route of an attempt. `owner` sends it to the owner, `forward` sends it to another instance that forwards it to the
 * owner, and `resume` lets another instance read the generation from its engine without the owner.
 */
export type Route = 'owner' | 'forward' | 'resume'

/** What is known of a submission when its next route is selected. */
export interface RouteConditions {
  /** Number of attempts since the last progress. */
  readonly consecutiveFailures: number
  /** Whether the generation can be read from its engine. */
  readonly canResume: boolean
}

/**
 * Number of consecutive failed attempts at the owner, each on a new connection, after which other instances are used.
 */
export const MAX_OWNER_ATTEMPTS = 2

/** Selects the routes of the attempts of one submission, which begin at the owner. */
export class AttemptRoutes {
  /** Creates the routes of a submission. */
  static create (): AttemptRoutes {
    return new AttemptRoutes()
  }

  private route: Route = 'owner'
  private isOwnerLost = false

  /** @internal */
  private constructor () {}

  /** Returns the route of the current attempt. */
  getRoute (): Route {
    return this.route
  }

  /** Sets the route to `resume` for the rest of the submission, because its owner is known to be lost. */
  setOwnerLost (): void {
    this.isOwnerLost = true
    this.route = 'resume'
  }

  /**
   * Selects the route of the next attempt. The order is the owner, then `resume` if the generation can be read from its
   * engine, then `forward`, then the owner again. Once the owner is known to be lost, `resume` is repeated.
   * @param conditions - What is known of the submission.
   */
  selectNext ({ consecutiveFailures, canResume }: RouteConditions): void {
    if (this.route === 'owner' && consecutiveFailures < MAX_OWNER_ATTEMPTS) return
    const routes: Record<Route, Route> = {
      owner: canResume ? 'resume' : 'forward',
      resume: this.isOwnerLost ? 'resume' : 'forward',
      forward: 'owner'
    }
    this.route = routes[this.route]
  }
}
