import { createCanonicalSet } from '../explore/createCanonicalSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** View of the published records at one instance. */
export interface RecordsView {
  readonly revision: number
  /** Value of each key; 0 where it is absent. */
  readonly values: readonly number[]
  /** Revision at which the instance received the last change of each key, including deletions; 0 for never. */
  readonly changedAt: readonly number[]
  /** First revision accepted since the start. Not all changes after a lower revision are recorded. */
  readonly oldestRevision: number
}

/** A state of the records in transit to an instance. */
export interface ValuesMessage {
  readonly to: number
  readonly revision: number
  readonly values: readonly number[]
}

/** State of the configuration service, two instances and the messages to them. */
export interface ConfigurationState {
  /** Highest published revision. */
  readonly publishedRevision: number
  /** Revision that the service returns. A stale service returns an older revision than the published one. */
  readonly servedRevision: number
  readonly views: readonly RecordsView[]
  /** Messages in transit. Each may arrive at any later time, repeatedly or never. */
  readonly messages: readonly ValuesMessage[]
  /** Whether an instance accepted a lower revision than before without a restart. */
  readonly hasReverted: boolean
}

type Guards = ReadonlySet<string>
type Action = (state: ConfigurationState, guards: Guards) => ReadonlyArray<Step<ConfigurationState>>

const INSTANCES = [0, 1]

/** Published values by revision. The second revision deletes the first key, and the third amends the second key. */
const PUBLISHED_VALUES: ReadonlyArray<readonly number[]> = [[0, 0], [1, 1], [0, 1], [0, 3]]
const LAST_REVISION = PUBLISHED_VALUES.length - 1
const EMPTY_VIEW: RecordsView = { revision: 0, values: [0, 0], changedAt: [0, 0], oldestRevision: 0 }

const publish: Action = state => state.publishedRevision < LAST_REVISION
  ? [{ name: 'publish', next: { ...state, publishedRevision: state.publishedRevision + 1, servedRevision: state.publishedRevision + 1 } }]
  : []

const serveOlder: Action = state => Array.from({ length: state.publishedRevision }, (_, index) => index + 1)
  .filter(revision => revision !== state.servedRevision)
  .map(revision => ({ name: `serve ${revision}`, next: { ...state, servedRevision: revision } }))

const readService: Action = state => state.servedRevision === 0
  ? []
  : INSTANCES.map(to => ({ name: `readService ${to}`, next: addMessage(state, { to, revision: state.servedRevision, values: getPublishedValues(state.servedRevision) }) }))

const pollPeer: Action = (state, guards) => INSTANCES.flatMap(to => {
  const local = getView(state, to)
  const peer = getView(state, 1 - to)
  if (peer.revision <= local.revision) return []
  const merged = mergeChanges(local, peer, guards)
  const isComplete = String(merged) === String(peer.values)
  const values = isComplete || !guards.has('digest') ? merged : peer.values
  return [{ name: `pollPeer ${to}`, next: addMessage(state, { to, revision: peer.revision, values }) }]
})

/** Merges the changes that a peer received after the local revision into the local values. */
function mergeChanges (local: RecordsView, peer: RecordsView, guards: Guards): readonly number[] {
  if (local.revision < peer.oldestRevision && guards.has('oldestRevision')) return peer.values
  return local.values.map((value, key) => {
    const isDeleted = peer.values[key] === 0
    if ((peer.changedAt[key] as number) <= local.revision) return value
    return isDeleted && !guards.has('deletions') ? value : peer.values[key] as number
  })
}

const receive: Action = (state, guards) => state.messages.flatMap(message => {
  const { to, revision, values } = message
  const view = getView(state, to)
  if (revision === view.revision || (revision < view.revision && guards.has('revisionOrder'))) return []
  const hasReverted = state.hasReverted || revision < view.revision
  return [{ name: `receive ${to} ${revision} ${String(values)}`, next: { ...setView(state, to, acceptValues(view, revision, values)), hasReverted } }]
})

function acceptValues (view: RecordsView, revision: number, values: readonly number[]): RecordsView {
  const changedAt = values.map((value, key) => value === view.values[key] ? view.changedAt[key] as number : revision)
  return { revision, values, changedAt, oldestRevision: view.revision === 0 ? revision : view.oldestRevision }
}

const restart: Action = state => INSTANCES
  .filter(instance => getView(state, instance).revision > 0)
  .map(instance => ({ name: `restart ${instance}`, next: setView(state, instance, EMPTY_VIEW) }))

function addMessage (state: ConfigurationState, message: ValuesMessage): ConfigurationState {
  return { ...state, messages: createCanonicalSet([...state.messages, message]) }
}

function setView (state: ConfigurationState, instance: number, view: RecordsView): ConfigurationState {
  return { ...state, views: state.views.map((other, index) => index === instance ? view : other) }
}

function getView (state: ConfigurationState, instance: number): RecordsView {
  return state.views[instance] as RecordsView
}

function getPublishedValues (revision: number): readonly number[] {
  return PUBLISHED_VALUES[revision] as readonly number[]
}

const ACTIONS: readonly Action[] = [publish, serveOlder, readService, pollPeer, receive, restart]

/** Model of the revisions that two instances accept from a service that may be stale and from each other, with restarts. */
export const configurationModel: Model<ConfigurationState> = {
  name: 'configuration',
  guards: ['revisionOrder', 'digest', 'deletions', 'oldestRevision'],
  mutants: [
    { name: 'revisionOrder', removedGuards: ['revisionOrder'] },
    { name: 'digest and deletions', removedGuards: ['digest', 'deletions'] },
    { name: 'digest and oldestRevision', removedGuards: ['digest', 'oldestRevision'] }
  ],
  invariants: {
    configurationNeverReverts: state => !state.hasReverted,
    deletedStaysDeleted: state => state.views.every(({ revision, values }) => String(values) === String(PUBLISHED_VALUES[revision])),
    onlyPublishedInForce: state => state.views.every(view => view.revision <= state.publishedRevision)
  },
  listInitialStates: () => [{ publishedRevision: 0, servedRevision: 0, views: [EMPTY_VIEW, EMPTY_VIEW], messages: [], hasReverted: false }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
