import { createSet } from '../explore/createSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** An answer about a target on its way, with its age since the question was sent. */
export interface StateAnswer {
  readonly source: 'list' | 'report'
  readonly isLeaving: boolean
  readonly ageTicks: number
}

/** What an instance knows of a target from one source. */
export interface SourceView {
  readonly state: 'unknown' | 'active' | 'leaving'
  readonly ageTicks: number
}

/** State of one target, the platform's list, and one instance that may send work to the target. */
export interface TargetsState {
  /** Ticks since the target began to leave, from 1; 0 while it takes work. */
  readonly leavingTicks: number
  readonly list: SourceView
  readonly report: SourceView
  readonly answers: readonly StateAnswer[]
  /** Whether the instance has heard that the target leaves. */
  readonly hasHeard: boolean
  /** Whether a request has been placed on the target after a check and is not sent yet. */
  readonly isPlaced: boolean
  /** Whether work was sent too long after the target began to leave. */
  readonly hasLateWork: boolean
  /** Whether work was sent after the instance had heard that the target leaves. */
  readonly hasHeardWork: boolean
}

type Guards = ReadonlySet<string>
type Action = (state: TargetsState, guards: Guards) => ReadonlyArray<Step<TargetsState>>

/** Age up to which evidence counts, in ticks. */
const EVIDENCE_TICKS = 1

/** Ticks by which the platform's list may lag behind the target. */
const LIST_LAG_TICKS = 1

/** Age of evidence from which on ticks are no longer counted. */
const OLD_TICKS = EVIDENCE_TICKS + 1

/** Latest moment for new work, in ticks since the target began to leave, counted from 1. */
const LAST_WORK_TICKS = 1 + LIST_LAG_TICKS + EVIDENCE_TICKS

/** Time after the target began to leave from which on ticks are no longer counted. */
const LONG_LEAVING_TICKS = LAST_WORK_TICKS + 1

const leave: Action = state => state.leavingTicks === 0
  ? [{ name: 'leave', next: { ...state, leavingTicks: 1 } }]
  : []

const tick: Action = state => {
  const next = {
    ...state,
    leavingTicks: state.leavingTicks === 0 ? 0 : Math.min(LONG_LEAVING_TICKS, state.leavingTicks + 1),
    list: { ...state.list, ageTicks: addTick(state.list.ageTicks) },
    report: { ...state.report, ageTicks: addTick(state.report.ageTicks) },
    answers: createSet(state.answers.map(answer => ({ ...answer, ageTicks: addTick(answer.ageTicks) })))
  }
  return [{ name: 'tick', next }]
}

function addTick (ticks: number): number {
  return Math.min(OLD_TICKS, ticks + 1)
}

/** The target or the list is asked; the age of the answer counts from the question. */
const ask: Action = state => [
  { name: 'ask list', next: addStateAnswer(state, { source: 'list', isLeaving: state.leavingTicks > LIST_LAG_TICKS, ageTicks: 0 }) },
  { name: 'ask report', next: addStateAnswer(state, { source: 'report', isLeaving: state.leavingTicks > 0, ageTicks: 0 }) }
]

function addStateAnswer (state: TargetsState, answer: StateAnswer): TargetsState {
  return { ...state, answers: createSet([...state.answers, answer]) }
}

const receive: Action = (state, guards) => state.answers.map(answer => {
  const { source, isLeaving } = answer
  const ageTicks = guards.has('datedAtQuestion') ? answer.ageTicks : 0
  const known = state[source]
  const isOvertaken = known.state === 'leaving' && !isLeaving && guards.has('leavingWins')
  const isOlder = known.state !== 'unknown' && !isLeaving && ageTicks > known.ageTicks
  const view = { state: isLeaving ? 'leaving' as const : 'active' as const, ageTicks }
  const heard = isLeaving && !state.hasHeard ? { ...state, hasHeard: true } : state
  const next = isOvertaken || isOlder ? heard : { ...heard, [source]: view }
  return { name: `receive ${source} ${isLeaving ? 'leaving' : 'active'} ${answer.ageTicks}`, next }
})

/** A request is placed on the target after a first check, which may be followed by a pause. */
const place: Action = (state, guards) => !state.isPlaced && isOpen(state, guards)
  ? [{ name: 'place', next: { ...state, isPlaced: true } }]
  : []

const send: Action = (state, guards) => {
  if (!state.isPlaced || (guards.has('checkBeforeSend') && !isOpen(state, guards))) return []
  const hasLateWork = state.hasLateWork || state.leavingTicks > LAST_WORK_TICKS
  const hasHeardWork = state.hasHeardWork || state.hasHeard
  return [{ name: 'send', next: { ...state, isPlaced: false, hasLateWork, hasHeardWork } }]
}

function isOpen ({ list, report }: TargetsState, guards: Guards): boolean {
  const isKnownLeaving = list.state === 'leaving' || report.state === 'leaving'
  if (isKnownLeaving && guards.has('leavingFromAnySource')) return false
  const isListFresh = isFresh(list, guards)
  return list.state === 'active' && isListFresh ? true : report.state === 'active' && isListFresh && isFresh(report, guards)
}

function isFresh ({ ageTicks }: SourceView, guards: Guards): boolean {
  return ageTicks <= EVIDENCE_TICKS || !guards.has('evidenceAge')
}

const GUARDS = ['evidenceAge', 'datedAtQuestion', 'checkBeforeSend', 'leavingWins', 'leavingFromAnySource']
const ACTIONS: readonly Action[] = [leave, tick, ask, receive, place, send]
const UNKNOWN_VIEW: SourceView = { state: 'unknown', ageTicks: OLD_TICKS }

/** Model of evidence of a target that begins to leave, with pauses, delays and a list that lags. */
export const targetsModel: Model<TargetsState> = {
  name: 'targets',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removed: [guard] })),
  invariants: {
    leavingTargetGetsNothingNew: state => !state.hasLateWork,
    heardLeavingGetsNothingNew: state => !state.hasHeardWork
  },
  listInitial: () => [{
    leavingTicks: 0,
    list: UNKNOWN_VIEW,
    report: UNKNOWN_VIEW,
    answers: [],
    hasHeard: false,
    isPlaced: false,
    hasLateWork: false,
    hasHeardWork: false
  }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
