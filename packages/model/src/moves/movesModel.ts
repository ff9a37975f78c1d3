import { type Model, type Step } from '../explore/Model.js'

/** An event that was sent to the caller, and the generation that produced it. */
export interface SentEvent {
  readonly event: number
  readonly generation: number
}

/** State of a generation that moves between two engines, and of the instance that relays its events. */
export interface MovesState {
  readonly source: 'running' | 'stopped' | 'gone'
  /** Number of events that the source has produced. */
  readonly sourceEvents: number
  readonly destination: 'none' | 'running' | 'refused' | 'gone'
  /** Number of events at the destination, including those that were copied from the source. */
  readonly destinationEvents: number
  /** Number of the next event in the destination's stream. */
  readonly destinationNextEvent: number
  /** Which stream is relayed to the caller, or how the relay ended. `rerun` is a new run of the request. */
  readonly relayPhase: 'source' | 'destination' | 'rerun' | 'complete' | 'broken'
  /** Events that were sent to the caller, in order. */
  readonly sentEvents: readonly SentEvent[]
}

type Guards = ReadonlySet<string>
type Action = (state: MovesState, guards: Guards) => ReadonlyArray<Step<MovesState>>

/** Number of events of a complete answer, and the number of the last one. */
const LAST_EVENT = 2

function createStep (isEnabled: boolean, name: string, state: MovesState, changes: Partial<MovesState>): ReadonlyArray<Step<MovesState>> {
  return isEnabled ? [{ name, next: { ...state, ...changes } }] : []
}

function appendEvent (state: MovesState, event: number, generation: number): readonly SentEvent[] {
  return [...state.sentEvents, { event, generation }]
}

const produce: Action = state => createStep(state.source === 'running' && state.sourceEvents < LAST_EVENT, 'produce', state, { sourceEvents: state.sourceEvents + 1 })

const produceAtDestination: Action = state =>
  createStep(state.destination === 'running' && state.destinationEvents < LAST_EVENT, 'produceAtDestination', state, {
    destinationEvents: state.destinationEvents + 1
  })

const relay: Action = state =>
  createStep(state.relayPhase === 'source' && state.sentEvents.length < state.sourceEvents, 'relay', state, { sentEvents: appendEvent(state, state.sentEvents.length + 1, 1) })

const relayFromDestination: Action = state =>
  createStep(state.relayPhase === 'destination' && state.destinationNextEvent <= state.destinationEvents, 'relayFromDestination', state, {
    sentEvents: appendEvent(state, state.destinationNextEvent, 1), destinationNextEvent: state.destinationNextEvent + 1
  })

/** The last round of copying stops the run at the source. */
const stop: Action = state => createStep(state.relayPhase === 'source' && state.source === 'running', 'stop', state, { source: 'stopped' })

const move: Action = (state, guards) => {
  const isStopped = state.source === 'stopped' || (!guards.has('stopFirst') && state.source === 'running')
  const copiedEvents = guards.has('fromLastEvent') ? state.sentEvents.length : state.sourceEvents
  return createStep(state.relayPhase === 'source' && state.destination === 'none' && isStopped, 'move', state, {
    relayPhase: 'destination', destination: 'running', destinationEvents: copiedEvents, destinationNextEvent: copiedEvents + 1
  })
}

const refuse: Action = state =>
  createStep(state.relayPhase === 'source' && state.source === 'stopped' && state.destination === 'none', 'refuse', state, { destination: 'refused' })

/** A run that the destination refused resumes at the source. */
const resumeAtSource: Action = (state, guards) => {
  const canResume = state.destination === 'refused' || (!guards.has('resumeOnlyIfRefused') && state.destination === 'running')
  return createStep(state.source === 'stopped' && canResume, 'resumeAtSource', state, { source: 'running', relayPhase: 'source' })
}

const loseSource: Action = state => createStep(state.source !== 'gone', 'loseSource', state, { source: 'gone' })

const loseDestination: Action = state => createStep(state.destination === 'running', 'loseDestination', state, { destination: 'gone' })

function isLost ({ relayPhase, source, destination }: MovesState): boolean {
  return (relayPhase === 'source' && source === 'gone') || (relayPhase === 'destination' && destination === 'gone')
}

const breakOff: Action = state => createStep(isLost(state), 'breakOff', state, { relayPhase: 'broken' })

const rerun: Action = (state, guards) => createStep(isLost(state) && !guards.has('neverRerun'), 'rerun', state, { relayPhase: 'rerun' })

const relayRerun: Action = state =>
  createStep(state.relayPhase === 'rerun' && state.sentEvents.length < LAST_EVENT, 'relayRerun', state, { sentEvents: appendEvent(state, state.sentEvents.length + 1, 2) })

/** An answer is complete only with its last event. A stream that ends earlier is incomplete. */
const complete: Action = (state, guards) => {
  const isComplete = state.sentEvents.length >= LAST_EVENT || (!guards.has('completeOnlyIfWhole') && state.source === 'stopped')
  return createStep((state.relayPhase === 'source' || state.relayPhase === 'destination') && isComplete, 'complete', state, { relayPhase: 'complete' })
}

const ACTIONS: readonly Action[] = [
  produce, produceAtDestination, relay, relayFromDestination, stop, move, refuse, resumeAtSource, loseSource, loseDestination, breakOff, rerun,
  relayRerun, complete
]

const GUARDS = ['stopFirst', 'fromLastEvent', 'resumeOnlyIfRefused', 'neverRerun', 'completeOnlyIfWhole']

/** Model of a running generation that is moved to another engine. */
export const movesModel: Model<MovesState> = {
  name: 'moves',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removedGuards: [guard] })),
  invariants: {
    eventsInOrder: state => state.sentEvents.every(({ event }, index) => event === index + 1),
    singleGeneration: state => state.sentEvents.every(({ generation }) => generation === 1),
    noConcurrentRuns: state => !(state.source === 'running' && state.destination === 'running'),
    wholeWhenComplete: state => state.relayPhase !== 'complete' || state.sentEvents.length === LAST_EVENT
  },
  listInitialStates: () => [{ source: 'running', sourceEvents: 0, destination: 'none', destinationEvents: 0, destinationNextEvent: 0, relayPhase: 'source', sentEvents: [] }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
