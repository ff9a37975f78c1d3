// Accepted revisions of two instances with a service that may serve an older one, answers of peers and restarts.
module configuration {
  type View = { revision: int, values: List[int], changedAt: List[int], floor: int }
  type State = {
    published: int, served: int, views: List[View], messages: Set[{ to: int, revision: int, values: List[int] }], hasReverted: bool
  }

  var state: State

  pure val instances = Set(0, 1)
  pure val empty: View = { revision: 0, values: [0, 0], changedAt: [0, 0], floor: 0 }
  // The first key is deleted in the second revision, and the second key is amended in the third.
  pure val publishedValues: List[List[int]] = [[0, 0], [1, 1], [0, 1], [0, 3]]

  pure def mergeKey(own: View, peer: View, key: int): int =
    if (peer.changedAt.nth(key) <= own.revision) own.values.nth(key) else peer.values.nth(key)
  pure def merge(own: View, peer: View): List[int] =
    if (own.revision < peer.floor) peer.values else [mergeKey(own, peer, 0), mergeKey(own, peer, 1)]
  pure def changeOf(view: View, revision: int, values: List[int], key: int): int =
    if (values.nth(key) == view.values.nth(key)) view.changedAt.nth(key) else revision
  pure def acceptValues(view: View, revision: int, values: List[int]): View = {
    revision: revision, values: values, changedAt: [changeOf(view, revision, values, 0), changeOf(view, revision, values, 1)],
    floor: if (view.revision == 0) revision else view.floor
  }

  action init = state' = { published: 0, served: 0, views: [empty, empty], messages: Set(), hasReverted: false }

  action publish = all {
    state.published < 3, state' = { ...state, published: state.published + 1, served: state.published + 1 }
  }

  action serveOlder = {
    nondet revision = oneOf(1.to(state.published))
    all { revision != state.served, state' = { ...state, served: revision } }
  }

  action readService = {
    nondet instance = oneOf(instances)
    val message = { to: instance, revision: state.served, values: publishedValues.nth(state.served) }
    all { state.served > 0, state' = { ...state, messages: state.messages.union(Set(message)) } }
  }

  // Changes since the revision of the asker are merged into its values; the digest tells whether the result is whole.
  action askPeer = {
    nondet instance = oneOf(instances)
    val own = state.views.nth(instance)
    val peer = state.views.nth(1 - instance)
    val merged = merge(own, peer)
    val message = { to: instance, revision: peer.revision, values: if (merged == peer.values) merged else peer.values }
    all { peer.revision > own.revision, state' = { ...state, messages: state.messages.union(Set(message)) } }
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

  action step = any { publish, serveOlder, readService, askPeer, receive, restart }

  val configurationNeverReverts = not(state.hasReverted)
  val deletedStaysDeleted = instances.forall(i => state.views.nth(i).values == publishedValues.nth(state.views.nth(i).revision))
  val onlyPublishedInForce = instances.forall(i => state.views.nth(i).revision <= state.published)
}
