import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { Maybe, Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type TargetError } from '../../src/index.js'
import { CrashDetector, type LossKind } from '../../src/crashes/CrashDetector.js'
import { CrashRecords } from '../../src/crashes/CrashRecords.js'

const TARGET = { name: 't', url: 'http://t', availabilityZone: 'a', region: 'r', fencing: 'ignored' as const }

function createState (incarnation: string, state: TargetState['state'] = 'active'): TargetState {
  return { target: 't', incarnation, state }
}

interface LossCase {
  readonly kind?: LossKind
  /** State that the target reported before the loss. */
  readonly before?: TargetState
  /** Answer to the state request after the loss; none if absent. */
  readonly after?: Result<TargetState, TargetError>
}

async function doTest ({ kind = 'closed', before, after }: LossCase): Promise<string[]> {
  const clock = VirtualClock.create()
  const records = CrashRecords.create({ clock, audit: AuditTrail.create({ instance: 'i', incarnation: 'n' }), getRevision: () => 1 })
  const detector = CrashDetector.create({
    clock,
    records,
    scheduler: { getLatestPoll: () => Maybe.of(before).map(report => ({ report, sentAtMs: 0 })), observeTargetState: () => undefined },
    targetClient: { fetchState: async () => after ?? await new Promise(() => undefined) }
  })
  detector.recordLoss('f', { target: TARGET, kind, startedAtMs: clock.nowMs() })
  await clock.advance(1000)
  return records.listOpenCrashes().map(({ target, incarnation }) => `${target} ${incarnation}`)
}

describe('CrashDetector', () => {
  it('finds a crash when the target closed the connection and accepts no new one', async () => {
    expect(await doTest({ before: createState('1'), after: Result.err('unreachable') })).toEqual(['t 1'])
  })

  it('finds a crash when the target is another incarnation', async () => {
    expect(await doTest({ before: createState('1'), after: Result.ok(createState('2')) })).toEqual(['t 1'])
    expect(await doTest({ kind: 'silent', before: createState('1'), after: Result.ok(createState('2')) })).toEqual(['t 1'])
  })

  it('finds none when the target goes on', async () => {
    expect(await doTest({ before: createState('1'), after: Result.ok(createState('1')) })).toEqual([])
  })

  it('finds none when a link may be lost', async () => {
    expect(await doTest({ kind: 'silent', before: createState('1'), after: Result.err('unreachable') })).toEqual([])
    expect(await doTest({ before: createState('1') })).toEqual([])
  })

  it('finds none at a target that was leaving', async () => {
    expect(await doTest({ before: createState('1', 'leaving'), after: Result.err('unreachable') })).toEqual([])
  })
})
