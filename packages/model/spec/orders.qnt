// Orders of two placement controllers to a target that enforces or ignores fencing tokens.
module orders {
  type Order = { revision: int, fencingToken: int, ageTicks: int }
  type Controller = { revision: int, ageTicks: int, fencingToken: int, plannedOrders: List[Order] }
  type State = {
    fencing: str, publishedRevision: int, publishedTicks: int, controllers: List[Controller], orders: Set[Order], highestFencingToken: int, executedRevision: int,
    hasReverted: bool, hasLateOrder: bool
  }

  var state: State

  pure val controllers = Set(0, 1)
  pure val fencingTokensPerRevision = 4
  pure val oldOrderDeadlineTicks = 3

  pure def addTick(ticks: int): int = if (ticks >= 2) 2 else ticks + 1
  pure def ageOrder(o: Order): Order = { ...o, ageTicks: addTick(o.ageTicks) }
  pure def ageController(c: Controller): Controller =
    { ...c, ageTicks: addTick(c.ageTicks), plannedOrders: if (c.plannedOrders.length() == 0) [] else [ageOrder(c.plannedOrders.nth(0))] }
  pure def setController(s: State, i: int, c: Controller): State = { ...s, controllers: s.controllers.replaceAt(i, c) }
  pure def max(a: int, b: int): int = if (a > b) a else b
  pure def min(a: int, b: int): int = if (a < b) a else b
  pure def takeoverToken(revision: int, reportedToken: int): int = {
    val firstToken = revision * fencingTokensPerRevision
    min(firstToken + fencingTokensPerRevision - 1, max(firstToken, reportedToken + 1))
  }
  pure def canPlan(s: State, c: Controller): bool =
    if (s.fencing == "ignored") c.ageTicks <= 1
    else and {
      s.highestFencingToken / fencingTokensPerRevision <= c.revision,
      c.fencingToken / fencingTokensPerRevision != c.revision or s.highestFencingToken <= c.fencingToken
    }

  action init = {
    nondet fencing = oneOf(Set("enforced", "ignored"))
    val controller = { revision: 1, ageTicks: 0, fencingToken: 0, plannedOrders: [] }
    state' = {
      fencing: fencing, publishedRevision: 1, publishedTicks: 0, controllers: [controller, controller], orders: Set(), highestFencingToken: 0, executedRevision: 0,
      hasReverted: false, hasLateOrder: false
    }
  }

  action publish = all { state.publishedRevision < 2, state' = { ...state, publishedRevision: state.publishedRevision + 1, publishedTicks: 0 } }

  action tick = all {
    state.fencing == "ignored",
    state' = {
      ...state, publishedTicks: min(oldOrderDeadlineTicks + 1, state.publishedTicks + 1),
      controllers: [ageController(state.controllers.nth(0)), ageController(state.controllers.nth(1))], orders: state.orders.map(o => ageOrder(o))
    }
  }

  action confirm = {
    nondet i = oneOf(controllers)
    state' = setController(state, i, { ...state.controllers.nth(i), revision: state.publishedRevision, ageTicks: 0 })
  }

  action takeOver = {
    nondet i = oneOf(controllers)
    all {
      state.fencing == "enforced", state.controllers.nth(i).fencingToken != 0,
      state' = setController(state, i, { ...state.controllers.nth(i), fencingToken: 0 })
    }
  }

  action plan = {
    nondet i = oneOf(controllers)
    val c = state.controllers.nth(i)
    val fencingToken = if (c.fencingToken / fencingTokensPerRevision == c.revision) c.fencingToken else takeoverToken(c.revision, state.highestFencingToken)
    all {
      c.plannedOrders.length() == 0, canPlan(state, c),
      state' = setController(state, i, { ...c, fencingToken: fencingToken, plannedOrders: [{ revision: c.revision, fencingToken: fencingToken, ageTicks: 0 }] })
    }
  }

  action send = {
    nondet i = oneOf(controllers)
    val c = state.controllers.nth(i)
    all {
      c.plannedOrders.length() > 0,
      state' = {
        val order = c.plannedOrders.nth(0)
        val cleared = setController(state, i, { ...c, plannedOrders: [] })
        if (order.ageTicks > 1 or order.revision != c.revision) cleared
        else { ...cleared, orders: state.orders.union(Set({ ...order, ageTicks: 0 })) }
      }
    }
  }

  action arrive = {
    nondet order = oneOf(state.orders)
    val isEnforced = state.fencing == "enforced"
    val isLate = not(isEnforced) and order.revision < state.publishedRevision and state.publishedTicks > oldOrderDeadlineTicks
    all {
      if (isEnforced) order.fencingToken >= state.highestFencingToken else order.ageTicks <= 1,
      state' = {
        ...state, executedRevision: order.revision, highestFencingToken: if (isEnforced) order.fencingToken else state.highestFencingToken,
        hasReverted: state.hasReverted or (isEnforced and order.revision < state.executedRevision),
        hasLateOrder: state.hasLateOrder or isLate
      }
    }
  }

  action step = any { publish, tick, confirm, takeOver, plan, send, arrive }

  val fencingRejectsOldOrders = not(state.hasReverted)
  val oldOrdersExpire = not(state.hasLateOrder)
}
