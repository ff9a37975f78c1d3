import { type Clock } from '@fescuespoke/common'
import { RecentSums } from './RecentSums.js'

/** Time over which the demand of workspaces is measured, in milliseconds; each then has several requests at one instance. */
const DEMAND_WINDOW_MS = 30_000

/**
 * Shares of workspaces when one of them sends much more than the others. One half of the capacity is divided equally and the other half
 * in proportion to demand: a small workspace is not starved, and a large one is served at least half as often as all requests.
 * Equal shares alone would serve a workspace with ten times the load of each other one a tenth as often.
 */
export class WorkspaceShares {
  /**
   * Creates shares without recorded demand.
   * @param clock - Clock of the instance.
   */
  static create (clock: Clock): WorkspaceShares {
    return new WorkspaceShares(clock)
  }

  private readonly demand: RecentSums<string>

  /** @internal */
  private constructor (clock: Clock) {
    this.demand = RecentSums.create(clock, DEMAND_WINDOW_MS)
  }

  /**
   * Records the demand of a request.
   * @param workspace - Workspace of the caller.
   * @param cost - Work of the request, in tokens.
   */
  recordArrival (workspace: string, cost: number): void {
    this.demand.add(workspace, cost)
  }

  /**
   * Returns the weight of a workspace: 1 for the equal half, and its demand relative to the mean demand for the proportional half.
   * @param workspace - The workspace.
   */
  getWeight (workspace: string): number {
    const mean = this.demand.getMeanAmount()
    return mean <= 0 ? 1 : 1 + this.demand.getSum(workspace).amount / mean
  }

  /** Drops the recorded demand. */
  clear (): void {
    this.demand.clear()
  }
}
