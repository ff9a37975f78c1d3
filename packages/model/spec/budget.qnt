// Instances that divide a number of attempts among them without agreement.
module budget {
  type State = { visible: List[int], largest: List[int], spent: List[int] }

  var state: State

  pure val instances = Set(0, 1, 2)
  pure val fleetSize = 3
  pure val allowed = 6

  action init = state' = { visible: [3, 3, 3], largest: [3, 3, 3], spent: [0, 0, 0] }

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

  action take = {
    nondet own = oneOf(instances)
    all {
      state.spent.nth(own) < allowed / state.largest.nth(own),
      state' = { ...state, spent: state.spent.replaceAt(own, state.spent.nth(own) + 1) }
    }
  }

  action step = any { partition, heal, take }

  val sumIsAllowed = state.spent.foldl(0, (sum, count) => sum + count) <= allowed
}
