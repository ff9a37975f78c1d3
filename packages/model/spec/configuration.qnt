// Revisions that two instances accept from a service that may be stale and from each other, with restarts.
module configuration {
  type View = { revision: int, values: List[int], changedAt: List[int], oldestRevision: int }
  type State = {
    publishedRevision: int, servedRevision: int, views: List[View], messages: Set[{ to: int, revision: int, values: List[int] }], hasReverted: bool
  }

  var state: State

  pure val instances = Set(0, 1)
  pure val empty: View = { revision: 0, values: [0, 0], changedAt: [0, 0], oldestRevision: 0 }
  // The second revision deletes the first key, and the third amends the second key.
  pure val publishedValues: List[List[int]] = [[0, 0], [1, 1], [0, 1], [0, 3]]

  pure def mergeKey(localView: View, peer: View, key: int): int =
    if (peer.changedAt.nth(key) <= localView.revision) localView.values.nth(key) else peer.values.nth(key)
  pure def merge(localView: View, peer: View): List[int] =
    if (localView.revision < peer.oldestRevision) peer.values else [mergeKey(localView, peer, 0), mergeKey(localView, peer, 1)]
  pure def revisionOfChange(view: View, revision: int, values: List[int], key: int): int =
    if (values.nth(key) == view.values.nth(key)) view.changedAt.nth(key) else revision
  pure def acceptValues(view: View, revision: int, values: List[int]): View = {
    revision: revision, values: values, changedAt: [revisionOfChange(view, revision, values, 0), revisionOfChange(view, revision, values, 1)],
    oldestRevision: if (view.revision == 0) revision else view.oldestRevision
  }

  action init = state' = { publishedRevision: 0, servedRevision: 0, views: [empty, empty], messages: Set(), hasReverted: false }

  action publish = all {
    state.publishedRevision < 3, state' = { ...state, publishedRevision: state.publishedRevision + 1, servedRevision: state.publishedRevision + 1 }
  }

  action serveOlder = {
    nondet revision = oneOf(1.to(state.publishedRevision))
    all { revision != state.servedRevision, state' = { ...state, servedRevision: revision } }
  }

  action readService = {
    nondet instance = oneOf(instances)
    val message = { to: instance, revision: state.servedRevision, values: publishedValues.nth(state.servedRevision) }
    all { state.servedRevision > 0, state' = { ...state, messages: state.messages.union(Set(message)) } }
  }

  // Changes since the local revision are merged into the local values. The digest shows whether the result is complete.
  // If it is not, the peer's values are used.
  action pollPeer = {
    nondet instance = oneOf(instances)
    val localView = state.views.nth(instance)
    val peer = state.views.nth(1 - instance)
    val merged = merge(localView, peer)
    val message = { to: instance, revision: peer.revision, values: if (merged == peer.values) merged else peer.values }
    all { peer.revision > localView.revision, state' = { ...state, messages: state.messages.union(Set(message)) } }
  }

  action receive = {
    nondet message = oneOf(state.messages)
    val view = state.views.nth(message.to)
    all {
      message.revision > view.revision,
      state' = { ...state, views: state.views.replaceAt(message.to, acceptValues(view, message.revision, message.values)) }
    }
  }

  action restart = {
    nondet instance = oneOf(instances)
    all { state.views.nth(instance).revision > 0, state' = { ...state, views: state.views.replaceAt(instance, empty) } }
  }

  action step = any { publish, serveOlder, readService, pollPeer, receive, restart }

  val configurationNeverReverts = not(state.hasReverted)
  val deletedStaysDeleted = instances.forall(i => state.views.nth(i).values == publishedValues.nth(state.views.nth(i).revision))
  val onlyPublishedInForce = instances.forall(i => state.views.nth(i).revision <= state.publishedRevision)
}
