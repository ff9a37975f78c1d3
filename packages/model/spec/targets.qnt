// An instance that tracks the state of a target which begins to leave, with pauses, delays and a list that lags.
module targets {
  type SourceView = { state: str, ageTicks: int }
  type Answer = { source: str, isLeaving: bool, ageTicks: int }
  type State = {
    leavingTicks: int, list: SourceView, report: SourceView, answers: Set[Answer], hasLeavingNotice: bool, isPlaced: bool, hasLateWork: bool,
    hasWorkAfterNotice: bool
  }

  var state: State

  pure val unknown: SourceView = { state: "unknown", ageTicks: 2 }
  pure val newWorkDeadlineTicks = 3

  pure def addTick(ticks: int): int = if (ticks >= 2) 2 else ticks + 1
  pure def isFresh(view: SourceView): bool = view.ageTicks <= 1
  pure def canReceiveWork(s: State): bool = and {
    s.list.state != "leaving", s.report.state != "leaving", isFresh(s.list),
    s.list.state == "active" or (s.report.state == "active" and isFresh(s.report))
  }
  pure def acceptAnswer(currentView: SourceView, answer: Answer): SourceView =
    if (answer.isLeaving) { state: "leaving", ageTicks: answer.ageTicks }
    else if (currentView.state == "leaving" or (currentView.state != "unknown" and answer.ageTicks > currentView.ageTicks)) currentView
    else { state: "active", ageTicks: answer.ageTicks }

  action init = state' = {
    leavingTicks: 0, list: unknown, report: unknown, answers: Set(), hasLeavingNotice: false, isPlaced: false, hasLateWork: false,
    hasWorkAfterNotice: false
  }

  action leave = all { state.leavingTicks == 0, state' = { ...state, leavingTicks: 1 } }

  action tick = state' = {
    ...state,
    leavingTicks: if (state.leavingTicks == 0 or state.leavingTicks > newWorkDeadlineTicks) state.leavingTicks else state.leavingTicks + 1,
    list: { ...state.list, ageTicks: addTick(state.list.ageTicks) },
    report: { ...state.report, ageTicks: addTick(state.report.ageTicks) },
    answers: state.answers.map(answer => { ...answer, ageTicks: addTick(answer.ageTicks) })
  }

  // The list lags one tick behind the target. The age of an answer counts from the query.
  action query = {
    nondet source = oneOf(Set("list", "report"))
    val isLeaving = state.leavingTicks > (if (source == "list") 1 else 0)
    state' = { ...state, answers: state.answers.union(Set({ source: source, isLeaving: isLeaving, ageTicks: 0 })) }
  }

  action receive = {
    nondet answer = oneOf(state.answers)
    val notifiedState = { ...state, hasLeavingNotice: state.hasLeavingNotice or answer.isLeaving }
    state' = if (answer.source == "list") { ...notifiedState, list: acceptAnswer(state.list, answer) }
      else { ...notifiedState, report: acceptAnswer(state.report, answer) }
  }

  action place = all { not(state.isPlaced), canReceiveWork(state), state' = { ...state, isPlaced: true } }

  action send = all {
    state.isPlaced, canReceiveWork(state),
    state' = {
      ...state, isPlaced: false, hasLateWork: state.hasLateWork or state.leavingTicks > newWorkDeadlineTicks,
      hasWorkAfterNotice: state.hasWorkAfterNotice or state.hasLeavingNotice
    }
  }

  action step = any { leave, tick, query, receive, place, send }

  val leavingTargetReceivesNoNewWork = not(state.hasLateWork)
  val noNewWorkAfterLeavingNotice = not(state.hasWorkAfterNotice)
}
