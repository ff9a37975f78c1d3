// A running generation that moves to another engine.
module moves {
  type Sent = { event: int, generation: int }
  type State = {
    source: str, produced: int, destination: str, destinationProduced: int, destinationNextEvent: int, relayPhase: str, sent: List[Sent]
  }

  var state: State

  pure val lastEvent = 2
  pure def isLost(s: State): bool = or {
    and { s.relayPhase == "source", s.source == "gone" },
    and { s.relayPhase == "destination", s.destination == "gone" }
  }

  action init = state' = {
    source: "running", produced: 0, destination: "none", destinationProduced: 0, destinationNextEvent: 0, relayPhase: "source", sent: []
  }

  action produce = all { state.source == "running", state.produced < lastEvent, state' = { ...state, produced: state.produced + 1 } }

  action produceAtDestination = all {
    state.destination == "running", state.destinationProduced < lastEvent,
    state' = { ...state, destinationProduced: state.destinationProduced + 1 }
  }

  action relay = all {
    state.relayPhase == "source", state.sent.length() < state.produced,
    state' = { ...state, sent: state.sent.append({ event: state.sent.length() + 1, generation: 1 }) }
  }

  action relayFromDestination = all {
    state.relayPhase == "destination", state.destinationNextEvent <= state.destinationProduced,
    state' = {
      ...state, sent: state.sent.append({ event: state.destinationNextEvent, generation: 1 }), destinationNextEvent: state.destinationNextEvent + 1
    }
  }

  action stop = all { state.relayPhase == "source", state.source == "running", state' = { ...state, source: "stopped" } }

  action move = all {
    state.relayPhase == "source", state.destination == "none", state.source == "stopped",
    state' = {
      ...state, relayPhase: "destination", destination: "running", destinationProduced: state.sent.length(),
      destinationNextEvent: state.sent.length() + 1
    }
  }

  action refuse = all {
    state.relayPhase == "source", state.source == "stopped", state.destination == "none",
    state' = { ...state, destination: "refused" }
  }

  action resumeAtSource = all {
    state.source == "stopped", state.destination == "refused",
    state' = { ...state, source: "running", relayPhase: "source" }
  }

  action loseSource = all { state.source != "gone", state' = { ...state, source: "gone" } }

  action loseDestination = all { state.destination == "running", state' = { ...state, destination: "gone" } }

  action breakOff = all { isLost(state), state' = { ...state, relayPhase: "broken" } }

  action complete = all {
    Set("source", "destination").contains(state.relayPhase), state.sent.length() >= lastEvent,
    state' = { ...state, relayPhase: "complete" }
  }

  action step = any {
    produce, produceAtDestination, relay, relayFromDestination, stop, move, refuse, resumeAtSource, loseSource, loseDestination, breakOff,
    complete
  }

  val eventsInOrder = state.sent.indices().forall(i => state.sent.nth(i).event == i + 1)
  val singleGeneration = state.sent.indices().forall(i => state.sent.nth(i).generation == 1)
  val noConcurrentRuns = not(and { state.source == "running", state.destination == "running" })
  val wholeWhenComplete = state.relayPhase != "complete" or state.sent.length() == lastEvent
}
