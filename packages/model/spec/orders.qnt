// Orders of two order givers to one target that enforces fencing numbers or ignores them.
module orders {
  type Order = { revision: int, fence: int, ageTicks: int }
  type Giver = { revision: int, ageTicks: int, fence: int, planned: List[Order] }
  type State = {
    fencing: str, published: int, publishedTicks: int, givers: List[Giver], orders: Set[Order], fence: int, carriedOut: int,
    hasReverted: bool, hasLateOrder: bool
  }

  var state: State

  pure val givers = Set(0, 1)
  pure val fencesPerRevision = 4
  pure val lastOrderTicks = 3

  pure def addTick(ticks: int): int = if (ticks >= 2) 2 else ticks + 1
  pure def ageOrder(o: Order): Order = { ...o, ageTicks: addTick(o.ageTicks) }
  pure def ageGiver(g: Giver): Giver =
    { ...g, ageTicks: addTick(g.ageTicks), planned: if (g.planned.length() == 0) [] else [ageOrder(g.planned.nth(0))] }
  pure def setGiver(s: State, i: int, g: Giver): State = { ...s, givers: s.givers.replaceAt(i, g) }
  pure def max(a: int, b: int): int = if (a > b) a else b
  pure def min(a: int, b: int): int = if (a < b) a else b
  pure def takeoverFence(revision: int, reported: int): int = {
    val first = revision * fencesPerRevision
    min(first + fencesPerRevision - 1, max(first, reported + 1))
  }
  pure def canPlan(s: State, g: Giver): bool =
    if (s.fencing == "ignored") g.ageTicks <= 1
    else and {
      s.fence / fencesPerRevision <= g.revision,
      g.fence / fencesPerRevision != g.revision or s.fence <= g.fence
    }

  action init = {
    nondet fencing = oneOf(Set("enforced", "ignored"))
    val giver = { revision: 1, ageTicks: 0, fence: 0, planned: [] }
    state' = {
      fencing: fencing, published: 1, publishedTicks: 0, givers: [giver, giver], orders: Set(), fence: 0, carriedOut: 0,
      hasReverted: false, hasLateOrder: false
    }
  }

  action publish = all { state.published < 2, state' = { ...state, published: state.published + 1, publishedTicks: 0 } }

  action tick = all {
    state.fencing == "ignored",
    state' = {
      ...state, publishedTicks: min(lastOrderTicks + 1, state.publishedTicks + 1),
      givers: [ageGiver(state.givers.nth(0)), ageGiver(state.givers.nth(1))], orders: state.orders.map(o => ageOrder(o))
    }
  }

  action confirm = {
    nondet i = oneOf(givers)
    state' = setGiver(state, i, { ...state.givers.nth(i), revision: state.published, ageTicks: 0 })
  }

  action takeOver = {
    nondet i = oneOf(givers)
    all {
      state.fencing == "enforced", state.givers.nth(i).fence != 0,
      state' = setGiver(state, i, { ...state.givers.nth(i), fence: 0 })
    }
  }

  action plan = {
    nondet i = oneOf(givers)
    val g = state.givers.nth(i)
    val fence = if (g.fence / fencesPerRevision == g.revision) g.fence else takeoverFence(g.revision, state.fence)
    all {
      g.planned.length() == 0, canPlan(state, g),
      state' = setGiver(state, i, { ...g, fence: fence, planned: [{ revision: g.revision, fence: fence, ageTicks: 0 }] })
    }
  }

  action send = {
    nondet i = oneOf(givers)
    val g = state.givers.nth(i)
    all {
      g.planned.length() > 0,
      state' = {
        val order = g.planned.nth(0)
        val cleared = setGiver(state, i, { ...g, planned: [] })
        if (order.ageTicks > 1 or order.revision != g.revision) cleared
        else { ...cleared, orders: state.orders.union(Set({ ...order, ageTicks: 0 })) }
      }
    }
  }

  action arrive = {
    nondet order = oneOf(state.orders)
    val isEnforced = state.fencing == "enforced"
    val isLate = not(isEnforced) and order.revision < state.published and state.publishedTicks > lastOrderTicks
    all {
      if (isEnforced) order.fence >= state.fence else order.ageTicks <= 1,
      state' = {
        ...state, carriedOut: order.revision, fence: if (isEnforced) order.fence else state.fence,
        hasReverted: state.hasReverted or (isEnforced and order.revision < state.carriedOut),
        hasLateOrder: state.hasLateOrder or isLate
      }
    }
  }

  action step = any { publish, tick, confirm, takeOver, plan, send, arrive }

  val fenceKeepsOldOrdersOut = not(state.hasReverted)
  val oldOrdersEndSoon = not(state.hasLateOrder)
}
