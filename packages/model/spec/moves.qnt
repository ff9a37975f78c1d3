// A running generation that moves to another engine.
module moves {
  type SentEvent = { event: int, generation: int }
  type State = {
    source: str, sourceEvents: int, destination: str, destinationEvents: int, destinationNextEvent: int, relayPhase: str, sentEvents: List[SentEvent]
  }

  var state: State

  pure val lastEvent = 2
  pure def isLost(s: State): bool = or {
    and { s.relayPhase == "source", s.source == "gone" },
    and { s.relayPhase == "destination", s.destination == "gone" }
  }

  action init = state' = {
    source: "running", sourceEvents: 0, destination: "none", destinationEvents: 0, destinationNextEvent: 0, relayPhase: "source", sentEvents: []
  }

  action produce = all { state.source == "running", state.sourceEvents < lastEvent, state' = { ...state, sourceEvents: state.sourceEvents + 1 } }

  action produceAtDestination = all {
    state.destination == "running", state.destinationEvents < lastEvent,
    state' = { ...state, destinationEvents: state.destinationEvents + 1 }
  }

  action relay = all {
    state.relayPhase == "source", state.sentEvents.length() < state.sourceEvents,
    state' = { ...state, sentEvents: state.sentEvents.append({ event: state.sentEvents.length() + 1, generation: 1 }) }
  }

  action relayFromDestination = all {
    state.relayPhase == "destination", state.destinationNextEvent <= state.destinationEvents,
    state' = {
      ...state, sentEvents: state.sentEvents.append({ event: state.destinationNextEvent, generation: 1 }), destinationNextEvent: state.destinationNextEvent + 1
    }
  }

  action stop = all { state.relayPhase == "source", state.source == "running", state' = { ...state, source: "stopped" } }

  action move = all {
    state.relayPhase == "source", state.destination == "none", state.source == "stopped",
    state' = {
      ...state, relayPhase: "destination", destination: "running", destinationEvents: state.sentEvents.length(),
      destinationNextEvent: state.sentEvents.length() + 1
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
    Set("source", "destination").contains(state.relayPhase), state.sentEvents.length() >= lastEvent,
    state' = { ...state, relayPhase: "complete" }
  }

  action step = any {
    produce, produceAtDestination, relay, relayFromDestination, stop, move, refuse, resumeAtSource, loseSource, loseDestination, breakOff,
    complete
  }

  val eventsInOrder = state.sentEvents.indices().forall(i => state.sentEvents.nth(i).event == i + 1)
  val singleGeneration = state.sentEvents.indices().forall(i => state.sentEvents.nth(i).generation == 1)
  val noConcurrentRuns = not(and { state.source == "running", state.destination == "running" })
  val wholeWhenComplete = state.relayPhase != "complete" or state.sentEvents.length() == lastEvent
}
