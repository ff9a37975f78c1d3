// A running generation that is moved to another engine.
module moves {
  type Sent = { event: int, generation: int }
  type State = {
    source: str, made: int, destination: str, destinationMade: int, destinationNext: int, reader: str, sent: List[Sent]
  }

  var state: State

  pure val lastEvent = 2
  pure def isLost(s: State): bool = or {
    and { s.reader == "source", s.source == "gone" },
    and { s.reader == "destination", s.destination == "gone" }
  }

  action init = state' = {
    source: "running", made: 0, destination: "none", destinationMade: 0, destinationNext: 0, reader: "source", sent: []
  }

  action make = all { state.source == "running", state.made < lastEvent, state' = { ...state, made: state.made + 1 } }

  action makeAtDestination = all {
    state.destination == "running", state.destinationMade < lastEvent,
    state' = { ...state, destinationMade: state.destinationMade + 1 }
  }

  action pass = all {
    state.reader == "source", state.sent.length() < state.made,
    state' = { ...state, sent: state.sent.append({ event: state.sent.length() + 1, generation: 1 }) }
  }

  action passFromDestination = all {
    state.reader == "destination", state.destinationNext <= state.destinationMade,
    state' = {
      ...state, sent: state.sent.append({ event: state.destinationNext, generation: 1 }), destinationNext: state.destinationNext + 1
    }
  }

  action stop = all { state.reader == "source", state.source == "running", state' = { ...state, source: "stopped" } }

  action move = all {
    state.reader == "source", state.destination == "none", state.source == "stopped",
    state' = {
      ...state, reader: "destination", destination: "running", destinationMade: state.sent.length(),
      destinationNext: state.sent.length() + 1
    }
  }

  action refuse = all {
    state.reader == "source", state.source == "stopped", state.destination == "none",
    state' = { ...state, destination: "refused" }
  }

  action takeBack = all {
    state.source == "stopped", state.destination == "refused",
    state' = { ...state, source: "running", reader: "source" }
  }

  action loseSource = all { state.source != "gone", state' = { ...state, source: "gone" } }

  action loseDestination = all { state.destination == "running", state' = { ...state, destination: "gone" } }

  action breakOff = all { isLost(state), state' = { ...state, reader: "broken" } }

  action complete = all {
    Set("source", "destination").contains(state.reader), state.sent.length() >= lastEvent,
    state' = { ...state, reader: "complete" }
  }

  action step = any {
    make, makeAtDestination, pass, passFromDestination, stop, move, refuse, takeBack, loseSource, loseDestination, breakOff,
    complete
  }

  val inOrder = state.sent.indices().forall(i => state.sent.nth(i).event == i + 1)
  val oneRun = state.sent.indices().forall(i => state.sent.nth(i).generation == 1)
  val notTwice = not(and { state.source == "running", state.destination == "running" })
  val wholeWhenComplete = state.reader != "complete" or state.sent.length() == lastEvent
}
