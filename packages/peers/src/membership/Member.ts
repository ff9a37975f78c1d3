import { type MemberNews, type MemberState } from '@fescuespoke/schema'

/** Instance of the fleet, as known to the local instance. */
export interface Member extends Readonly<MemberNews> {
  /** Time of the last change of its state on the local clock. */
  readonly changedAtMs: number
}

/** Change of a member in the view of the local instance. */
export interface MemberChange {
  readonly member: Member
  /** Previous state; absent if the instance was not known. */
  readonly previousState?: MemberState
  /** Whether the instance was known with another incarnation before. */
  readonly isRestart: boolean
  /** Cause of the change, shown to operators. */
  readonly cause: string
}

/** Precedence of the states of one counter. A state with a higher precedence overrides one with a lower precedence. */
const STATE_PRECEDENCE: Record<MemberState, number> = { alive: 0, leaving: 1, suspect: 2, dead: 3 }

/**
 * Returns whether an update overrides the current record of the same instance. An update with a higher counter does.
 * With the same counter and incarnation, the state with the higher precedence does.
 * @param update - Received update.
 * @param current - Current record.
 */
export function isNewer (update: MemberNews, current: MemberNews): boolean {
  if (update.counter !== current.counter) return update.counter > current.counter
  return update.incarnation === current.incarnation && STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[current.state]
}

/**
 * Converts a member into an update that can be sent to peers.
 * @param member - The member.
 */
export function convertToMemberUpdate (member: Member): MemberNews {
  const { changedAtMs, ...update } = member
  return update
}
