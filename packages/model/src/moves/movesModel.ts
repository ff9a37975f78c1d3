import { type Model, type Step } from '../explore/Model.js'

/** An event that the caller was sent, and the generation that produced it. */
export interface SentEvent {
  readonly event: number
  readonly generation: number
}

/** State of one generation that changes its engine, as the two engines and the instance that relays it see it. */
export interface MovesState {
  readonly source: 'running' | 'stopped' | 'gone'
  /** Events that the source has produced. */
  readonly made: number
  readonly destination: 'none' | 'running' | 'refused' | 'gone'
  /** Events that exist at the destination, those of the copy included. */
  readonly destinationMade: number
  /** Event that the destination's stream sends next. */
  readonly destinationNext: number
  /** Whose stream the caller is sent. */
  readonly reader: 'source' | 'destination' | 'anew' | 'complete' | 'broken'
  readonly sent: readonly SentEvent[]
}

type Guards = ReadonlySet<string>
type Action = (state: MovesState, guards: Guards) => ReadonlyArray<Step<MovesState>>

/** Events of the whole answer. */
const LAST_EVENT = 2

function step (isEnabled: boolean, name: string, state: MovesState, change: Partial<MovesState>): ReadonlyArray<Step<MovesState>> {
  return isEnabled ? [{ name, next: { ...state, ...change } }] : []
}

function sendEvent (state: MovesState, event: number, generation: number): readonly SentEvent[] {
  return [...state.sent, { event, generation }]
}

const make: Action = state => step(state.source === 'running' && state.made < LAST_EVENT, 'make', state, { made: state.made + 1 })

const makeAtDestination: Action = state =>
  step(state.destination === 'running' && state.destinationMade < LAST_EVENT, 'makeAtDestination', state, { destinationMade: state.destinationMade + 1 })

const pass: Action = state =>
  step(state.reader === 'source' && state.sent.length < state.made, 'pass', state, { sent: sendEvent(state, state.sent.length + 1, 1) })

const passFromDestination: Action = state =>
  step(state.reader === 'destination' && state.destinationNext <= state.destinationMade, 'passFromDestination', state, {
    sent: sendEvent(state, state.destinationNext, 1), destinationNext: state.destinationNext + 1
  })

/** The last copy stops the run at its source. */
const stop: Action = state => step(state.reader === 'source' && state.source === 'running', 'stop', state, { source: 'stopped' })

const move: Action = (state, guards) => {
  const isStopped = state.source === 'stopped' || (!guards.has('stopFirst') && state.source === 'running')
  const from = guards.has('fromLastEvent') ? state.sent.length : state.made
  return step(state.reader === 'source' && state.destination === 'none' && isStopped, 'move', state, {
    reader: 'destination', destination: 'running', destinationMade: from, destinationNext: from + 1
  })
}

const refuse: Action = state =>
  step(state.reader === 'source' && state.source === 'stopped' && state.destination === 'none', 'refuse', state, { destination: 'refused' })

/** A run that the destination refused goes on at its source. */
const takeBack: Action = (state, guards) => {
  const isFree = state.destination === 'refused' || (!guards.has('refusedOnly') && state.destination === 'running')
  return step(state.source === 'stopped' && isFree, 'takeBack', state, { source: 'running', reader: 'source' })
}

const loseSource: Action = state => step(state.source !== 'gone', 'loseSource', state, { source: 'gone' })

const loseDestination: Action = state => step(state.destination === 'running', 'loseDestination', state, { destination: 'gone' })

function isLost ({ reader, source, destination }: MovesState): boolean {
  return (reader === 'source' && source === 'gone') || (reader === 'destination' && destination === 'gone')
}

const breakOff: Action = state => step(isLost(state), 'breakOff', state, { reader: 'broken' })

const runAnew: Action = (state, guards) => step(isLost(state) && !guards.has('neverAnew'), 'runAnew', state, { reader: 'anew' })

const passAnew: Action = state =>
  step(state.reader === 'anew' && state.sent.length < LAST_EVENT, 'passAnew', state, { sent: sendEvent(state, state.sent.length + 1, 2) })

/** An answer is complete with its last event only; a stream that ends before is not. */
const complete: Action = (state, guards) => {
  const isWhole = state.sent.length >= LAST_EVENT || (!guards.has('wholeOnly') && state.source === 'stopped')
  return step((state.reader === 'source' || state.reader === 'destination') && isWhole, 'complete', state, { reader: 'complete' })
}

const ACTIONS: readonly Action[] = [
  make, makeAtDestination, pass, passFromDestination, stop, move, refuse, takeBack, loseSource, loseDestination, breakOff, runAnew, passAnew, complete
]

const GUARDS = ['stopFirst', 'fromLastEvent', 'refusedOnly', 'neverAnew', 'wholeOnly']

/** Model of a running generation that is moved to another engine. */
export const movesModel: Model<MovesState> = {
  name: 'moves',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removed: [guard] })),
  invariants: {
    inOrder: state => state.sent.every(({ event }, index) => event === index + 1),
    oneRun: state => state.sent.every(({ generation }) => generation === 1),
    notTwice: state => !(state.source === 'running' && state.destination === 'running'),
    wholeWhenComplete: state => state.reader !== 'complete' || state.sent.length === LAST_EVENT
  },
  listInitial: () => [{ source: 'running', made: 0, destination: 'none', destinationMade: 0, destinationNext: 0, reader: 'source', sent: [] }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
