import { type MemberNews, type MemberState } from '@fescuespoke/schema'

/** What this instance believes of an instance of the fleet. */
export interface Member extends Readonly<MemberNews> {
  /** Reading of the own clock at the last change of its state. */
  readonly changedAtMs: number
}

/** A change in what this instance believes. */
export interface MemberChange {
  readonly member: Member
  /** State before; absent for an instance that was not known. */
  readonly before?: MemberState
  /** Whether another incarnation of the same instance was there before. */
  readonly isRestart: boolean
  /** Why it changed, for operators. */
  readonly cause: string
}

/** Order of states of one counter; a later one replaces an earlier one. */
const STATE_RANKS: Record<MemberState, number> = { alive: 0, leaving: 1, suspect: 2, dead: 3 }

/**
 * Tells whether news replaces what is known of the same instance: a higher counter does, and at the same counter and
 * incarnation the later state.
 * @param news - The news.
 * @param known - What is known.
 */
export function isNewer (news: MemberNews, known: MemberNews): boolean {
  if (news.counter !== known.counter) return news.counter > known.counter
  return news.incarnation === known.incarnation && STATE_RANKS[news.state] > STATE_RANKS[known.state]
}

/**
 * Converts a member into news of it.
 * @param member - The member.
 */
export function convertToNews (member: Member): MemberNews {
  const { changedAtMs, ...news } = member
  return news
}
