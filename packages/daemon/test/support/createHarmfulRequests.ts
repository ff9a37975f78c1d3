import { AuditTrail, type Clock, MetricsRegistry } from '@fescuespoke/common'
import { Maybe } from 'true-myth'
import { type TargetClient } from '../../src/index.js'
import { CrashDetector } from '../../src/crashes/CrashDetector.js'
import { CrashRecords } from '../../src/crashes/CrashRecords.js'
import { HarmfulRequests } from '../../src/crashes/HarmfulRequests.js'
import { TrialTurns } from '../../src/crashes/TrialTurns.js'

/** Creates the records of crashes of a single instance. */
export function createCrashRecords (clock: Clock): CrashRecords {
  return CrashRecords.create({ clock, audit: AuditTrail.create({ instance: 'i', incarnation: 'n' }), getRevision: () => 1 })
}

/** Creates the harmful requests of a single instance, which does not poll its targets. */
export function createHarmfulRequests (clock: Clock, targetClient: TargetClient, records = createCrashRecords(clock)): HarmfulRequests {
  const audit = AuditTrail.create({ instance: 'i', incarnation: 'n' })
  const scheduler = { getLatestPoll: () => Maybe.nothing<never>(), observeTargetState: () => undefined }
  return HarmfulRequests.create({
    records,
    audit,
    getRevision: () => 1,
    detector: CrashDetector.create({ clock, records, scheduler, targetClient }),
    turns: TrialTurns.create({ clock, instance: 'i', listInstances: () => ['i'] }),
    metrics: MetricsRegistry.create({ clock })
  })
}
