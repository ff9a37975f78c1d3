// A request from its caller through its owner to two targets, under loss, duplication, delay, restarts and drains.
// Process 0 is the owner, process 1 is the next incarnation on the same instance, and process 2 is on another instance.
module requests {
  type Attempt = { process: int, phase: str, hasSentBytes: bool, hasRun: bool, producedTokens: int }
  type Entry = { phase: str, outcome: str, attempt: int, generation: int, bufferedTokens: int, deliveredGeneration: int }
  type State = {
    kind: str, lease: str, owner: str, entries: List[Entry], attempts: List[Attempt], sentOutcomes: Set[str],
    sentTokens: Set[int], receivedTokens: List[int], result: str, hasMixedGenerations: bool, hasInterruptedWork: bool
  }

  var state: State

  pure val absent: Entry = { phase: "absent", outcome: "none", attempt: 0, generation: 0, bufferedTokens: 0, deliveredGeneration: 0 }
  pure val processes = Set(0, 1, 2)
  pure val numbers = Set(1, 2)
  pure val offsets = Set(0, 1)

  pure def isCall(s: State): bool = s.kind == "lookup" or s.kind == "charge"
  pure def answerTokenCount(s: State): int = if (isCall(s)) 1 else 2
  pure def isOwnerUp(s: State): bool = s.owner == "running" or s.owner == "refusing"
  pure def isUp(s: State, p: int): bool =
    if (p == 0) isOwnerUp(s) else if (p == 1) s.owner == "restarted" else true
  pure def setEntry(s: State, p: int, e: Entry): State = { ...s, entries: s.entries.replaceAt(p, e) }
  pure def attemptOf(s: State, n: int): Attempt = s.attempts.nth(n - 1)
  pure def setAttempt(s: State, n: int, a: Attempt): State = { ...s, attempts: s.attempts.replaceAt(n - 1, a) }
  pure def closeAttempt(s: State, n: int): State = setAttempt(s, n, { ...attemptOf(s, n), phase: "closed" })
  pure def addSentOutcome(s: State, o: str): State = { ...s, sentOutcomes: s.sentOutcomes.union(Set(o)) }
  pure def addSentToken(s: State, g: int, o: int): State = { ...s, sentTokens: s.sentTokens.union(Set(g * 10 + o)) }
  pure def endEntry(s: State, p: int, o: str): State =
    addSentOutcome(setEntry(s, p, { ...s.entries.nth(p), phase: "ended", outcome: o }), o)
  pure def isUnfinished(s: State, p: int): bool =
    and { isUp(s, p), Set("waiting", "dispatched").contains(s.entries.nth(p).phase) }
  pure def hasAttempt(s: State, n: int, phase: str): bool =
    and { n <= s.attempts.length(), attemptOf(s, n).phase == phase, isUp(s, attemptOf(s, n).process) }
  pure def isCurrent(s: State, n: int): bool = {
    val e = s.entries.nth(attemptOf(s, n).process)
    e.attempt == n and e.phase != "ended"
  }

  // A refusal is recorded before it is answered, so that no later copy runs.
  pure def refuseCopy(s: State): State =
    addSentOutcome(setEntry(s, 0, { ...s.entries.nth(0), phase: "ended", outcome: "notRun" }), "notRun")

  // Only the incarnation that granted the lease accepts requests under it, and only until it removes the lease.
  pure def acceptCopy(s: State, p: int): State = {
    val e = s.entries.nth(p)
    if (p != 0 or s.lease == "removed") addSentOutcome(s, "unknown")
    else if (e.phase == "ended") addSentOutcome(s, e.outcome)
    else if (e.phase != "absent") s
    else if (s.owner == "refusing" or s.lease == "expired") refuseCopy(s)
    else setEntry(s, p, { ...e, phase: "waiting" })
  }

  pure def endUnfinished(s: State, p: int, dispatched: str): State = {
    val e = s.entries.nth(p)
    val outcome = if (e.phase == "dispatched") dispatched else "notRun"
    val closed = if (isCall(s) or e.attempt == 0) s else closeAttempt(s, e.attempt)
    endEntry(closed, p, outcome)
  }

  pure def startAttempt(s: State, p: int): State = {
    val e = s.entries.nth(p)
    val n = s.attempts.length() + 1
    val phase = if (isCall(s)) e.phase else "dispatched"
    setEntry(
      { ...s, attempts: s.attempts.append({ process: p, phase: "connecting", hasSentBytes: false, hasRun: false, producedTokens: 0 }) },
      p, { ...e, attempt: n, generation: n, bufferedTokens: 0, phase: phase }
    )
  }

  pure def mayHaveRun(s: State, p: int): bool =
    or { s.attempts.indices().exists(i => s.attempts.nth(i).process == p and s.attempts.nth(i).hasSentBytes), s.entries.nth(p).bufferedTokens > 0 }

  action init = {
    nondet kind = oneOf(Set("streamed", "buffered", "lookup", "charge"))
    state' = {
      kind: kind, lease: "live", owner: "running", entries: [absent, absent, absent], attempts: [], sentOutcomes: Set(),
      sentTokens: Set(), receivedTokens: [], result: "none", hasMixedGenerations: false, hasInterruptedWork: false
    }
  }

  action submit = {
    nondet p = oneOf(processes)
    all { isUp(state, p), state' = acceptCopy(state, p) }
  }

  action refuse = all {
    isOwnerUp(state), state.lease == "live", state.entries.nth(0).phase == "absent", state' = refuseCopy(state)
  }

  action cancel = {
    val phase = state.entries.nth(0).phase
    all {
      isOwnerUp(state), state.lease != "removed", phase != "ended",
      state' = if (phase == "absent") refuseCopy(state)
        else if (phase == "dispatched" and isCall(state)) addSentOutcome(state, "unknown")
        else endUnfinished(state, 0, "cancelled")
    }
  }

  action passDeadline = {
    nondet p = oneOf(processes)
    all { isUnfinished(state, p), state' = endUnfinished(state, p, if (isCall(state) and state.entries.nth(p).attempt != 0) "unknown" else "failed") }
  }

  action dispatch = {
    nondet p = oneOf(processes)
    all {
      isUnfinished(state, p), state.entries.nth(p).attempt == 0, state.attempts.length() < 2,
      state.entries.nth(p).deliveredGeneration == 0, state' = startAttempt(state, p)
    }
  }

  action connect = {
    nondet n = oneOf(numbers)
    all {
      hasAttempt(state, n, "connecting"),
      state' = if (not(isCurrent(state, n))) closeAttempt(state, n) else {
        val a = attemptOf(state, n)
        val opened = setAttempt(state, n, { ...a, phase: "open", hasSentBytes: true })
        setEntry(opened, a.process, { ...state.entries.nth(a.process), phase: "dispatched" })
      }
    }
  }

  action failConnect = {
    nondet n = oneOf(numbers)
    all {
      hasAttempt(state, n, "connecting"),
      state' = {
        val p = attemptOf(state, n).process
        val closed = closeAttempt(state, n)
        val phase = if (mayHaveRun(state, p)) "dispatched" else "waiting"
        if (isCurrent(state, n)) setEntry(closed, p, { ...state.entries.nth(p), attempt: 0, phase: phase }) else closed
      }
    }
  }

  action cut = {
    nondet n = oneOf(numbers)
    all {
      hasAttempt(state, n, "open"),
      state' = {
        val p = attemptOf(state, n).process
        val closed = closeAttempt(state, n)
        if (not(isCurrent(state, n))) closed
        else if (state.kind == "charge") endEntry(closed, p, "unknown")
        else if (state.entries.nth(p).deliveredGeneration != 0) endEntry(closed, p, "failed")
        else setEntry(closed, p, { ...state.entries.nth(p), attempt: 0 })
      }
    }
  }

  action reopen = {
    nondet n = oneOf(numbers)
    all {
      hasAttempt(state, n, "open"), not(isCall(state)), isCurrent(state, n),
      state' = setAttempt(state, n, { ...attemptOf(state, n), phase: "connecting" })
    }
  }

  action giveUp = {
    nondet p = oneOf(processes)
    all {
      isUnfinished(state, p), state.entries.nth(p).attempt == 0,
      state' = endEntry(state, p, if (state.entries.nth(p).phase == "dispatched") "failed" else "notRun")
    }
  }

  action receive = {
    nondet n = oneOf(numbers)
    all {
      hasAttempt(state, n, "open"),
      {
        val a = attemptOf(state, n)
        val e = state.entries.nth(a.process)
        all {
          e.attempt == n, e.bufferedTokens < a.producedTokens,
          e.phase != "ended" or (e.outcome == "unknown" and isCall(state)),
          state' = {
            val receivedState = setEntry(state, a.process, { ...e, bufferedTokens: e.bufferedTokens + 1 })
            if (e.bufferedTokens + 1 == answerTokenCount(state)) endEntry(closeAttempt(receivedState, n), a.process, "complete") else receivedState
          }
        }
      }
    }
  }

  action deliver = {
    nondet p = oneOf(processes)
    nondet offset = oneOf(offsets)
    val e = state.entries.nth(p)
    all {
      not(isCall(state)), isUp(state, p), state.kind == "streamed" or e.outcome == "complete", offset < e.bufferedTokens,
      state' = setEntry(
        { ...addSentToken(state, e.generation, offset), hasMixedGenerations: state.hasMixedGenerations or (e.deliveredGeneration != 0 and e.deliveredGeneration != e.generation) },
        p, { ...e, deliveredGeneration: e.generation }
      )
    }
  }

  action expireLease = all { isOwnerUp(state), state.lease == "live", state' = { ...state, lease: "expired" } }

  action removeLease = all {
    isOwnerUp(state), state.lease == "expired", Set("absent", "ended").contains(state.entries.nth(0).phase),
    state' = setEntry({ ...state, lease: "removed" }, 0, absent)
  }

  action restart = all {
    state.owner != "restarted", state' = setEntry({ ...state, owner: "restarted", lease: "removed" }, 0, absent)
  }

  action beginDrain = all { state.owner == "running", state' = { ...state, owner: "refusing" } }

  action endDrain = {
    val e = state.entries.nth(0)
    all {
      state.owner == "refusing", Set("absent", "ended").contains(e.phase) or (not(isCall(state)) and e.bufferedTokens > 0),
      state' = setEntry({ ...state, owner: "stopped", lease: "removed" }, 0, absent)
    }
  }

  action runAtTarget = {
    nondet n = oneOf(numbers)
    all {
      n <= state.attempts.length(), attemptOf(state, n).hasSentBytes, not(attemptOf(state, n).hasRun),
      state' = setAttempt(state, n, { ...attemptOf(state, n), hasRun: true })
    }
  }

  action produce = {
    nondet n = oneOf(numbers)
    all {
      n <= state.attempts.length(), attemptOf(state, n).hasRun, attemptOf(state, n).producedTokens < answerTokenCount(state),
      state' = setAttempt(state, n, { ...attemptOf(state, n), producedTokens: attemptOf(state, n).producedTokens + 1 })
    }
  }

  action resume = {
    nondet n = oneOf(numbers)
    nondet offset = oneOf(offsets)
    all {
      not(isCall(state)), n <= state.attempts.length(), offset < attemptOf(state, n).producedTokens,
      state.kind == "streamed" or attemptOf(state, n).producedTokens == 2, state' = addSentToken(state, n, offset)
    }
  }

  action resumeEnd = {
    nondet n = oneOf(numbers)
    all {
      not(isCall(state)), n <= state.attempts.length(), attemptOf(state, n).producedTokens == 2, state' = addSentOutcome(state, "complete")
    }
  }

  action receiveToken = {
    nondet token = oneOf(state.sentTokens)
    val isSame = state.receivedTokens.length() == 0 or state.receivedTokens.nth(0) / 10 == token / 10
    all {
      state.result == "none",
      or { isSame and token % 10 == state.receivedTokens.length(), not(isSame) and state.kind == "buffered" and token % 10 == 0 },
      state' = { ...state, receivedTokens: if (isSame) state.receivedTokens.append(token) else [token] }
    }
  }

  action receiveAnswer = {
    nondet outcome = oneOf(state.sentOutcomes)
    all {
      state.result == "none" or (state.result == "unknown" and outcome == "complete"),
      outcome != "complete" or isCall(state) or state.receivedTokens.length() == 2,
      state' = { ...state, result: outcome }
    }
  }

  action progress = any {
    submit, dispatch, connect, failConnect, cut, reopen, receive, deliver, removeLease, runAtTarget, produce, resume, resumeEnd,
    receiveToken, receiveAnswer
  }

  action interrupt = any { refuse, cancel, passDeadline, giveUp, expireLease, restart, beginDrain, endDrain }

  // Interruptions end the progress of a trace, so they are less likely than other steps. Every trace remains possible.
  action step = {
    nondet chance = oneOf(1.to(5))
    any { progress, all { chance == 1, interrupt } }
  }

  pure def countRuns(s: State): int = s.attempts.foldl(0, (count, a) => if (a.hasRun) count + 1 else count)

  val deliveryOnceInOrderOneGeneration = and {
    not(state.hasMixedGenerations),
    state.receivedTokens.indices().forall(i => state.receivedTokens.nth(i) == state.receivedTokens.nth(0) + i and state.receivedTokens.nth(0) % 10 == 0)
  }
  val wholeAnswerWhenComplete = state.result != "complete" or isCall(state) or state.receivedTokens.length() == 2
  val notRunNeverRuns = not(state.sentOutcomes.contains("notRun")) or countRuns(state) == 0
  val nonIdempotentAtMostOnce = state.kind != "charge" or countRuns(state) <= 1
  val drainInterruptsNoWork = not(state.hasInterruptedWork)
}
