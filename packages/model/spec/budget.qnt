// Instances that share a budget of attempts without coordination.
module budget {
  type State = {
    visibleInstances: List[int], maxVisibleInstances: List[int], spentAttempts: List[int], countedAttempts: List[int], isRestarted: List[bool]
  }

  var state: State

  pure val instances = Set(0, 1, 2)
  pure val fleetSize = 3
  pure val maxAttempts = 10
  pure val maxRetryAttempts = 6
  pure val restartDivisor = 2

  action init = state' = {
    visibleInstances: [3, 3, 3], maxVisibleInstances: [3, 3, 3], spentAttempts: [0, 0, 0], countedAttempts: [0, 0, 0], isRestarted: [false, false, false]
  }

  action partition = {
    nondet instance = oneOf(instances)
    all { state.visibleInstances.nth(instance) == fleetSize, state' = { ...state, visibleInstances: state.visibleInstances.replaceAt(instance, 1) } }
  }

  action heal = {
    nondet instance = oneOf(instances)
    all {
      state.visibleInstances.nth(instance) == 1,
      state' = {
        ...state, visibleInstances: state.visibleInstances.replaceAt(instance, fleetSize), maxVisibleInstances: state.maxVisibleInstances.replaceAt(instance, fleetSize)
      }
    }
  }

  action restart = {
    nondet instance = oneOf(instances)
    all {
      not(state.isRestarted.nth(instance)),
      state' = {
        ...state,
        visibleInstances: state.visibleInstances.replaceAt(instance, 1),
        maxVisibleInstances: state.maxVisibleInstances.replaceAt(instance, 0),
        countedAttempts: state.countedAttempts.replaceAt(instance, 0),
        isRestarted: state.isRestarted.replaceAt(instance, true)
      }
    }
  }

  def share(instance) = {
    val instanceBudget = if (state.isRestarted.nth(instance)) maxRetryAttempts / restartDivisor else maxRetryAttempts
    if (state.maxVisibleInstances.nth(instance) == 0) 0 else instanceBudget / state.maxVisibleInstances.nth(instance)
  }

  action spend = {
    nondet instance = oneOf(instances)
    all {
      state.countedAttempts.nth(instance) < share(instance),
      state' = {
        ...state,
        spentAttempts: state.spentAttempts.replaceAt(instance, state.spentAttempts.nth(instance) + 1),
        countedAttempts: state.countedAttempts.replaceAt(instance, state.countedAttempts.nth(instance) + 1)
      }
    }
  }

  action step = any { partition, heal, restart, spend }

  val totalWithinBudget = state.spentAttempts.foldl(0, (sum, count) => sum + count) <= maxAttempts
}
