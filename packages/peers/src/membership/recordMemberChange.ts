import { type AuditEntry, type AuditTrail } from '@fescuespoke/common'
import { type MemberState } from '@fescuespoke/schema'
import { type MemberChange } from './Member.js'

const AUDIT_KINDS: Record<MemberState, AuditEntry['kind']> = {
  alive: 'instanceJoined',
  leaving: 'instanceLeft',
  suspect: 'instanceSuspected',
  dead: 'instanceLeft'
}

/**
 * Records a change of a member in the audit trail.
 * @param audit - Audit trail of the local instance.
 * @param change - Change of the member.
 * @param revision - Configuration revision accepted by the local instance.
 * @internal
 */
export function recordMemberChange (audit: AuditTrail, { member, previousState, cause }: MemberChange, revision: number): void {
  audit.record({ kind: AUDIT_KINDS[member.state], subject: member.instance, revision, cause, before: previousState, after: member.state })
}
