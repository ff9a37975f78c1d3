// Instances that divide a number of attempts among them without agreement.
module budget {
  type State = {
    visible: List[int], largest: List[int], spent: List[int], remembered: List[int], isFresh: List[bool]
  }

  var state: State

  pure val instances = Set(0, 1, 2)
  pure val fleetSize = 3
  pure val allowed = 10
  pure val usable = 6
  pure val freshDivisor = 2

  action init = state' = {
    visible: [3, 3, 3], largest: [3, 3, 3], spent: [0, 0, 0], remembered: [0, 0, 0], isFresh: [false, false, false]
  }

  action partition = {
    nondet own = oneOf(instances)
    all { state.visible.nth(own) == fleetSize, state' = { ...state, visible: state.visible.replaceAt(own, 1) } }
  }

  action heal = {
    nondet own = oneOf(instances)
    all {
      state.visible.nth(own) == 1,
      state' = {
        ...state, visible: state.visible.replaceAt(own, fleetSize), largest: state.largest.replaceAt(own, fleetSize)
      }
    }
  }

  action restart = {
    nondet own = oneOf(instances)
    all {
      not(state.isFresh.nth(own)),
      state' = {
        ...state,
        visible: state.visible.replaceAt(own, 1),
        largest: state.largest.replaceAt(own, 0),
        remembered: state.remembered.replaceAt(own, 0),
        isFresh: state.isFresh.replaceAt(own, true)
      }
    }
  }

  def share(own) = {
    val part = if (state.isFresh.nth(own)) usable / freshDivisor else usable
    if (state.largest.nth(own) == 0) 0 else part / state.largest.nth(own)
  }

  action take = {
    nondet own = oneOf(instances)
    all {
      state.remembered.nth(own) < share(own),
      state' = {
        ...state,
        spent: state.spent.replaceAt(own, state.spent.nth(own) + 1),
        remembered: state.remembered.replaceAt(own, state.remembered.nth(own) + 1)
      }
    }
  }

  action step = any { partition, heal, restart, take }

  val sumIsAllowed = state.spent.foldl(0, (sum, count) => sum + count) <= allowed
}
