import { describe, expect, it } from 'vitest'
import { type CallerKind, type CallerOutcome, LONG, playLoad, type LoadPlayOptions, SHORT } from '../support/LoadPlay.js'

const KINDS: Readonly<Record<CallerKind['name'], CallerKind>> = { long: LONG, short: SHORT }

/** Bounds of the page: most by which a less urgent kind may be served more often, and least share of large prompts and of workspaces. */
const MAX_LESS_URGENT_LEAD = 0.05
const MIN_LARGE_SHARE = 1 / 2
const MIN_WORKSPACE_SHARE = 1 / 4

const SEEDS = [1, 2, 3]
const DURATION_MS = 30_000

/** Time at which bursts begin, and their lengths, in milliseconds. */
const BURST_AT_MS = 10_000
const LONG_BURST_MS = 6500
const SHORT_BURST_MS = 3500

function isWithin (atMs: number, startMs: number, lengthMs: number): boolean {
  return atMs >= startMs && atMs < startMs + lengthMs
}

function getLongFactor (kind: string, atMs: number): number {
  return kind === 'long' && isWithin(atMs, BURST_AT_MS, LONG_BURST_MS) ? 2.6 : 1
}

function getBothFactor (kind: string, atMs: number): number {
  return kind === 'short' && isWithin(atMs, BURST_AT_MS + LONG_BURST_MS, SHORT_BURST_MS) ? 1.9 : getLongFactor(kind, atMs)
}

/** Plays a load with several seeds and returns what became of all callers. */
async function doTest (options: Omit<LoadPlayOptions, 'seed' | 'durationMs'>): Promise<CallerOutcome[]> {
  const outcomes: CallerOutcome[] = []
  for (const seed of SEEDS) outcomes.push(...await playLoad({ ...options, seed, durationMs: DURATION_MS }))
  return outcomes
}

function selectKind (outcomes: readonly CallerOutcome[], kind: string): CallerOutcome[] {
  return outcomes.filter(outcome => outcome.kind === kind)
}

function computeShare (outcomes: readonly CallerOutcome[], results: ReadonlyArray<CallerOutcome['result']>): number {
  return outcomes.filter(({ result }) => results.includes(result)).length / outcomes.length
}

/** Checks that no kind is served more often than a more urgent one, and that every refusal came within the longest wait. */
function expectOrder (outcomes: readonly CallerOutcome[]): void {
  for (const results of [['inTime'], ['inTime', 'late']] as const) {
    const lead = computeShare(selectKind(outcomes, 'long'), results) - computeShare(selectKind(outcomes, 'short'), results)
    expect(lead).toBeLessThanOrEqual(MAX_LESS_URGENT_LEAD)
  }
  for (const { kind, refusedAfterMs } of outcomes) {
    const { objectiveMs, limitMs } = KINDS[kind]
    for (const heldMs of refusedAfterMs) expect(heldMs).toBeLessThanOrEqual(Math.min(objectiveMs / 2, limitMs / 4) + 1e-6)
  }
}

/** Checks that the largest tenth of each kind is served at least half as often as the whole kind. */
function expectLargeServed (outcomes: readonly CallerOutcome[]): void {
  for (const kind of ['long', 'short']) {
    const all = selectKind(outcomes, kind).sort((a, b) => b.promptTokens - a.promptTokens)
    const largest = all.slice(0, Math.ceil(all.length / 10))
    expect(computeShare(largest, ['inTime'])).toBeGreaterThanOrEqual(MIN_LARGE_SHARE * computeShare(all, ['inTime']))
  }
}

/** Checks that each workspace is served at least a quarter as often as all, with all its requests and with those of each kind. */
function expectWorkspacesServed (outcomes: readonly CallerOutcome[]): void {
  for (const selected of [outcomes, selectKind(outcomes, 'long'), selectKind(outcomes, 'short')]) {
    for (const workspace of new Set(selected.map(outcome => outcome.workspace))) {
      const own = selected.filter(outcome => outcome.workspace === workspace)
      expect(computeShare(own, ['inTime'])).toBeGreaterThanOrEqual(MIN_WORKSPACE_SHARE * computeShare(selected, ['inTime']))
    }
  }
}

describe('callers of one zone', () => {
  it('are all served in time at the usual load, so that the decisions cost nothing where capacity suffices', async () => {
    expect(computeShare(await doTest({}), ['inTime'])).toBe(1)
  })

  it('are served by urgency in a burst of long streams, which does not take the capacity of urgent short ones', async () => {
    const outcomes = await doTest({ getFactor: getLongFactor })
    expectOrder(outcomes)
    expectWorkspacesServed(outcomes)
    expectLargeServed(outcomes)
    expect(computeShare(selectKind(outcomes, 'short'), ['inTime'])).toBe(1)
  })

  it('are served by urgency in a burst of long streams that one of short streams follows', async () => {
    const outcomes = await doTest({ getFactor: getBothFactor })
    expectOrder(outcomes)
    expectWorkspacesServed(outcomes)
    expectLargeServed(outcomes)
  })

  it('are not crowded out by a workspace with ten times the load of each other one, nor is that workspace', async () => {
    const outcomes = await doTest({ getFactor: () => 2.6, pickWorkspace: random => random.nextFloat() < 10 / 33 ? 'large' : `w${Math.floor(random.nextFloat() * 23)}` })
    expectOrder(outcomes)
    expectWorkspacesServed(outcomes)
  })

  it('are refused within the longest wait when there are three times as many', async () => {
    const outcomes = await doTest({ getFactor: () => 3 })
    expectOrder(outcomes)
    expectWorkspacesServed(outcomes)
    expectLargeServed(outcomes)
  })

  it('are served by urgency while demand varies from 0.45 to 1.55 times the mean within 15 s', async () => {
    const outcomes = await doTest({ getFactor: (_, atMs) => 1 + 0.55 * Math.sin(2 * Math.PI * atMs / 15_000) })
    expectOrder(outcomes)
    expectWorkspacesServed(outcomes)
    expectLargeServed(outcomes)
  })

  it('with large prompts are not starved by small ones', async () => {
    const outcomes = await doTest({ getFactor: getBothFactor, pickPrompt: (kind, random) => kind.promptTokens * (random.nextFloat() < 0.1 ? 3 : 0.8) })
    expectOrder(outcomes)
    expectLargeServed(outcomes)
  })

  it('are served as before the estimates after a pause of the process in a burst', async () => {
    const outcomes = await doTest({ getFactor: getLongFactor, onStart: ({ clock, admissionQueue }) => { clock.startTimer(BURST_AT_MS + 3000, () => admissionQueue.dropEstimates()) } })
    expectOrder(outcomes)
    expectWorkspacesServed(outcomes)
  })
})
