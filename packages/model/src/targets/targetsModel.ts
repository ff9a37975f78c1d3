import { createCanonicalSet } from '../explore/createCanonicalSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** An answer about the state of a target, in transit. */
export interface StateAnswer {
  readonly source: 'list' | 'report'
  readonly isLeaving: boolean
  /** Ticks since the query was sent. */
  readonly ageTicks: number
}

/** State of a target at an instance, according to one source. */
export interface SourceView {
  readonly state: 'unknown' | 'active' | 'leaving'
  readonly ageTicks: number
}

/** State of one target, the platform's list, and one instance that may send work to the target. */
export interface TargetsState {
  /** Ticks since the target began to leave, counted from 1; 0 while it accepts work. */
  readonly leavingTicks: number
  readonly list: SourceView
  readonly report: SourceView
  readonly answers: readonly StateAnswer[]
  /** Whether the instance was notified that the target is leaving. */
  readonly hasLeavingNotice: boolean
  /** Whether a request was placed on the target after a check and has not been sent yet. */
  readonly isPlaced: boolean
  /** Whether work was sent after the deadline for new work to a leaving target. */
  readonly hasLateWork: boolean
  /** Whether work was sent after the instance was notified that the target is leaving. */
  readonly hasWorkAfterNotice: boolean
}

type Guards = ReadonlySet<string>
type Action = (state: TargetsState, guards: Guards) => ReadonlyArray<Step<TargetsState>>

/** Maximum age of a target's state, from either source, at which it is still used. */
const MAX_EVIDENCE_AGE_TICKS = 1

/** Time by which the platform's list may lag behind the target. */
const LIST_LAG_TICKS = 1

/** Value at which the age of a target's state stops increasing, to keep the number of states finite. */
const MAX_AGE_TICKS = MAX_EVIDENCE_AGE_TICKS + 1

/** Time until which a leaving target may receive new work, counted from 1 when the target begins to leave. */
const NEW_WORK_DEADLINE_TICKS = 1 + LIST_LAG_TICKS + MAX_EVIDENCE_AGE_TICKS

/** Value at which the time since the target began to leave stops increasing, to keep the number of states finite. */
const MAX_LEAVING_TICKS = NEW_WORK_DEADLINE_TICKS + 1

const leave: Action = state => state.leavingTicks === 0
  ? [{ name: 'leave', next: { ...state, leavingTicks: 1 } }]
  : []

const tick: Action = state => {
  const next = {
    ...state,
    leavingTicks: state.leavingTicks === 0 ? 0 : Math.min(MAX_LEAVING_TICKS, state.leavingTicks + 1),
    list: { ...state.list, ageTicks: addTick(state.list.ageTicks) },
    report: { ...state.report, ageTicks: addTick(state.report.ageTicks) },
    answers: createCanonicalSet(state.answers.map(answer => ({ ...answer, ageTicks: addTick(answer.ageTicks) })))
  }
  return [{ name: 'tick', next }]
}

function addTick (ticks: number): number {
  return Math.min(MAX_AGE_TICKS, ticks + 1)
}

/** The instance queries the platform's list or the target itself. The age of the answer counts from the query. */
const query: Action = state => [
  { name: 'query list', next: addStateAnswer(state, { source: 'list', isLeaving: state.leavingTicks > LIST_LAG_TICKS, ageTicks: 0 }) },
  { name: 'query report', next: addStateAnswer(state, { source: 'report', isLeaving: state.leavingTicks > 0, ageTicks: 0 }) }
]

function addStateAnswer (state: TargetsState, answer: StateAnswer): TargetsState {
  return { ...state, answers: createCanonicalSet([...state.answers, answer]) }
}

const receive: Action = (state, guards) => state.answers.map(answer => {
  const { source, isLeaving } = answer
  const ageTicks = guards.has('ageFromQuery') ? answer.ageTicks : 0
  const currentView = state[source]
  const isSuperseded = currentView.state === 'leaving' && !isLeaving && guards.has('leavingIsFinal')
  const isOlder = currentView.state !== 'unknown' && !isLeaving && ageTicks > currentView.ageTicks
  const view = { state: isLeaving ? 'leaving' as const : 'active' as const, ageTicks }
  const notifiedState = isLeaving && !state.hasLeavingNotice ? { ...state, hasLeavingNotice: true } : state
  const next = isSuperseded || isOlder ? notifiedState : { ...notifiedState, [source]: view }
  return { name: `receive ${source} ${isLeaving ? 'leaving' : 'active'} ${answer.ageTicks}`, next }
})

/** A request is placed on the target after a first check. The process may pause before it sends the request. */
const place: Action = (state, guards) => !state.isPlaced && canReceiveWork(state, guards)
  ? [{ name: 'place', next: { ...state, isPlaced: true } }]
  : []

const send: Action = (state, guards) => {
  if (!state.isPlaced || (guards.has('checkBeforeSend') && !canReceiveWork(state, guards))) return []
  const hasLateWork = state.hasLateWork || state.leavingTicks > NEW_WORK_DEADLINE_TICKS
  const hasWorkAfterNotice = state.hasWorkAfterNotice || state.hasLeavingNotice
  return [{ name: 'send', next: { ...state, isPlaced: false, hasLateWork, hasWorkAfterNotice } }]
}

function canReceiveWork ({ list, report }: TargetsState, guards: Guards): boolean {
  const isAnySourceLeaving = list.state === 'leaving' || report.state === 'leaving'
  if (isAnySourceLeaving && guards.has('leavingFromAnySource')) return false
  const isListFresh = isFresh(list, guards)
  return list.state === 'active' && isListFresh ? true : report.state === 'active' && isListFresh && isFresh(report, guards)
}

function isFresh ({ ageTicks }: SourceView, guards: Guards): boolean {
  return ageTicks <= MAX_EVIDENCE_AGE_TICKS || !guards.has('evidenceAge')
}

const GUARDS = ['evidenceAge', 'ageFromQuery', 'checkBeforeSend', 'leavingIsFinal', 'leavingFromAnySource']
const ACTIONS: readonly Action[] = [leave, tick, query, receive, place, send]
const UNKNOWN_VIEW: SourceView = { state: 'unknown', ageTicks: MAX_AGE_TICKS }

/** Model of an instance that tracks the state of a target which begins to leave, with pauses, delays and a list that lags. */
export const targetsModel: Model<TargetsState> = {
  name: 'targets',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removedGuards: [guard] })),
  invariants: {
    leavingTargetReceivesNoNewWork: state => !state.hasLateWork,
    noNewWorkAfterLeavingNotice: state => !state.hasWorkAfterNotice
  },
  listInitialStates: () => [{
    leavingTicks: 0,
    list: UNKNOWN_VIEW,
    report: UNKNOWN_VIEW,
    answers: [],
    hasLeavingNotice: false,
    isPlaced: false,
    hasLateWork: false,
    hasWorkAfterNotice: false
  }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
