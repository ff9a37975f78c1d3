// Two calls whose replies arrive late and in any order.
module replies {
  type Call = { phase: str, connection: int, reply: int }
  type State = { calls: List[Call], replies: Set[{ connection: int, call: int }], receivedReplies: List[int] }

  var state: State

  pure val calls = Set(1, 2)
  pure val waiting: Call = { phase: "waiting", connection: 0, reply: 0 }
  pure def callOf(s: State, c: int): Call = s.calls.nth(c - 1)
  pure def setCall(s: State, c: int, call: Call): State = { ...s, calls: s.calls.replaceAt(c - 1, call) }

  action init = state' = { calls: [waiting, waiting], replies: Set(), receivedReplies: [0, 0] }

  action send = {
    nondet c = oneOf(calls)
    all { callOf(state, c).phase == "waiting", state' = setCall(state, c, { phase: "sent", connection: c, reply: 0 }) }
  }

  action reply = {
    nondet c = oneOf(calls)
    val connection = callOf(state, c).connection
    all { connection != 0, state' = { ...state, replies: state.replies.union(Set({ connection: connection, call: c })) } }
  }

  action passDeadline = {
    nondet c = oneOf(calls)
    all { callOf(state, c).phase == "sent", state' = setCall(state, c, { ...callOf(state, c), phase: "unknown" }) }
  }

  action receive = {
    nondet r = oneOf(state.replies)
    nondet c = oneOf(calls)
    all {
      Set("sent", "unknown").contains(callOf(state, c).phase), callOf(state, c).connection == r.connection,
      state' = setCall(state, c, { phase: "complete", connection: r.connection, reply: r.call })
    }
  }

  action read = {
    nondet c = oneOf(calls)
    all {
      callOf(state, c).phase == "complete",
      state' = { ...state, receivedReplies: state.receivedReplies.replaceAt(c - 1, callOf(state, c).reply) }
    }
  }

  action step = any { send, reply, passDeadline, receive, read }

  val repliesMatchCallers = calls.forall(c => Set(0, c).contains(state.receivedReplies.nth(c - 1)))
}
