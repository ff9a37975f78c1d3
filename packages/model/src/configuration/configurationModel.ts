import { createSet } from '../explore/createSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** What one instance holds of the published records. */
export interface RecordsView {
  readonly revision: number
  /** Value of each key; 0 where it is absent. */
  readonly values: readonly number[]
  /** Revision at which the instance saw each key change, deletions included; 0 for never. */
  readonly changedAt: readonly number[]
  /** Changes after a lower revision than this are not known in full. */
  readonly floor: number
}

/** A state of the records on its way to an instance. */
export interface ValuesMessage {
  readonly to: number
  readonly revision: number
  readonly values: readonly number[]
}

/** State of the configuration service, two instances and what is on its way to them. */
export interface ConfigurationState {
  readonly published: number
  /** Revision that the service serves; a stale service serves an older one. */
  readonly served: number
  readonly views: readonly RecordsView[]
  /** Answers that may arrive at any later time, often or never. */
  readonly messages: readonly ValuesMessage[]
  /** Whether an instance has gone back to a lower revision without a restart. */
  readonly hasReverted: boolean
}

type Guards = ReadonlySet<string>
type Action = (state: ConfigurationState, guards: Guards) => ReadonlyArray<Step<ConfigurationState>>

const INSTANCES = [0, 1]

/** Published values by revision: the first key is deleted in the second revision, and the second key is amended in the third. */
const PUBLISHED: ReadonlyArray<readonly number[]> = [[0, 0], [1, 1], [0, 1], [0, 3]]
const LAST_REVISION = PUBLISHED.length - 1
const EMPTY_VIEW: RecordsView = { revision: 0, values: [0, 0], changedAt: [0, 0], floor: 0 }

const publish: Action = state => state.published < LAST_REVISION
  ? [{ name: 'publish', next: { ...state, published: state.published + 1, served: state.published + 1 } }]
  : []

const serveOlder: Action = state => Array.from({ length: state.published }, (_, index) => index + 1)
  .filter(revision => revision !== state.served)
  .map(revision => ({ name: `serve ${revision}`, next: { ...state, served: revision } }))

const readService: Action = state => state.served === 0
  ? []
  : INSTANCES.map(to => ({ name: `readService ${to}`, next: addMessage(state, { to, revision: state.served, values: getPublished(state.served) }) }))

const askPeer: Action = (state, guards) => INSTANCES.flatMap(to => {
  const own = getView(state, to)
  const peer = getView(state, 1 - to)
  if (peer.revision <= own.revision) return []
  const merged = mergeChanges(own, peer, guards)
  const isWhole = String(merged) === String(peer.values)
  const values = isWhole || !guards.has('digest') ? merged : peer.values
  return [{ name: `askPeer ${to}`, next: addMessage(state, { to, revision: peer.revision, values }) }]
})

/** Puts what a peer saw change after a revision over the values of that revision. */
function mergeChanges (own: RecordsView, peer: RecordsView, guards: Guards): readonly number[] {
  if (own.revision < peer.floor && guards.has('floor')) return peer.values
  return own.values.map((value, key) => {
    const isDeleted = peer.values[key] === 0
    if ((peer.changedAt[key] as number) <= own.revision) return value
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
  return { revision, values, changedAt, floor: view.revision === 0 ? revision : view.floor }
}

const restart: Action = state => INSTANCES
  .filter(instance => getView(state, instance).revision > 0)
  .map(instance => ({ name: `restart ${instance}`, next: setView(state, instance, EMPTY_VIEW) }))

function addMessage (state: ConfigurationState, message: ValuesMessage): ConfigurationState {
  return { ...state, messages: createSet([...state.messages, message]) }
}

function setView (state: ConfigurationState, instance: number, view: RecordsView): ConfigurationState {
  return { ...state, views: state.views.map((other, index) => index === instance ? view : other) }
}

function getView (state: ConfigurationState, instance: number): RecordsView {
  return state.views[instance] as RecordsView
}

function getPublished (revision: number): readonly number[] {
  return PUBLISHED[revision] as readonly number[]
}

const ACTIONS: readonly Action[] = [publish, serveOlder, readService, askPeer, receive, restart]

/** Model of accepted revisions with a service that may be stale, peers and restarts. */
export const configurationModel: Model<ConfigurationState> = {
  name: 'configuration',
  guards: ['revisionOrder', 'digest', 'deletions', 'floor'],
  mutants: [
    { name: 'revisionOrder', removed: ['revisionOrder'] },
    { name: 'digest and deletions', removed: ['digest', 'deletions'] },
    { name: 'digest and floor', removed: ['digest', 'floor'] }
  ],
  invariants: {
    configurationNeverReverts: state => !state.hasReverted,
    deletedStaysDeleted: state => state.views.every(({ revision, values }) => String(values) === String(PUBLISHED[revision])),
    onlyPublishedInForce: state => state.views.every(view => view.revision <= state.published)
  },
  listInitial: () => [{ published: 0, served: 0, views: [EMPTY_VIEW, EMPTY_VIEW], messages: [], hasReverted: false }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
