// Instances that share a budget of attempts without coordination.
module budget {
  type State = {
    visible: List[int], maxVisible: List[int], spent: List[int], counted: List[int], isRestarted: List[bool]
  }

  var state: State

  pure val instances = Set(0, 1, 2)
  pure val fleetSize = 3
  pure val maxAttempts = 10
  pure val maxRetryAttempts = 6
  pure val restartDivisor = 2

  action init = state' = {
    visible: [3, 3, 3], maxVisible: [3, 3, 3], spent: [0, 0, 0], counted: [0, 0, 0], isRestarted: [false, false, false]
  }

  action partition = {
    nondet instance = oneOf(instances)
    all { state.visible.nth(instance) == fleetSize, state' = { ...state, visible: state.visible.replaceAt(instance, 1) } }
  }

  action heal = {
    nondet instance = oneOf(instances)
    all {
      state.visible.nth(instance) == 1,
      state' = {
        ...state, visible: state.visible.replaceAt(instance, fleetSize), maxVisible: state.maxVisible.replaceAt(instance, fleetSize)
      }
    }
  }

  action restart = {
    nondet instance = oneOf(instances)
    all {
      not(state.isRestarted.nth(instance)),
      state' = {
        ...state,
        visible: state.visible.replaceAt(instance, 1),
        maxVisible: state.maxVisible.replaceAt(instance, 0),
        counted: state.counted.replaceAt(instance, 0),
        isRestarted: state.isRestarted.replaceAt(instance, true)
      }
    }
  }

  def share(instance) = {
    val instanceBudget = if (state.isRestarted.nth(instance)) maxRetryAttempts / restartDivisor else maxRetryAttempts
    if (state.maxVisible.nth(instance) == 0) 0 else instanceBudget / state.maxVisible.nth(instance)
  }

  action spend = {
    nondet instance = oneOf(instances)
    all {
      state.counted.nth(instance) < share(instance),
      state' = {
        ...state,
        spent: state.spent.replaceAt(instance, state.spent.nth(instance) + 1),
        counted: state.counted.replaceAt(instance, state.counted.nth(instance) + 1)
      }
    }
  }

  action step = any { partition, heal, restart, spend }

  val totalWithinBudget = state.spent.foldl(0, (sum, count) => sum + count) <= maxAttempts
}
