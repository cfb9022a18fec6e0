/*
 * The gang protocol of docs/DESIGN.md for one job.
 *
 * Every part has its own worker and agent. A placement is one try to start the job: an attempt's number with a nonce.
 * Messages need no state of their own: what a process may once have sent can arrive late, often or never. Two things
 * end that: an agent that crashed has lost its connections, and a sender does not go back in the protocol.
 * Lines with a tag in brackets are the rules that the tests break one at a time.
 */
module gang

abstract sig Attempt {}
one sig First, Second extends Attempt {}

sig Placement { attempt: one Attempt }

abstract sig Stage {}
one sig Reserved, Prepared, Running extends Stage {}

sig Part {
  var holds: Placement -> Stage,  // accelerators; tasks from Prepared on
  var saw: set Placement,         // reservations made in this life of the agent
  var refuses: set Placement      // what this life of the agent takes no more
}

abstract sig Fact {}
one sig HasReserved, HasPrepared, HasRun, HasFinished, HasStopped extends Fact {}

abstract sig State {}
one sig Waiting, Placed, Stopping, Ended extends State {}

one sig Row {
  var state: one State,
  var placement: lone Placement,
  var committed: set Placement
}

one sig Entries {
  var known: set Placement,            // commits that an entry has learned of
  var told: Fact -> Placement -> Part  // what agents have said
}

pred init {
  no holds and no saw and no refuses and no known and no told
  Row.state = Waiting and no Row.placement and no Row.committed
}

pred agentsUnchanged { holds' = holds and saw' = saw and refuses' = refuses }
pred rowUnchanged { state' = state and placement' = placement and committed' = committed }
pred entriesUnchanged { known' = known and told' = told }
pred tell[f: Fact, p: Placement, a: Part] { told' = told + Entries->f->p->a and known' = known }
fun toldBy[f: Fact, p: Placement]: set Part { p.(f.(Entries.told)) }
fun upTo[p: Placement]: set Placement { p.attempt = Second implies Placement else attempt.First }

pred reserve[a: Part, p: Placement] {
  no a.holds
  p not in a.refuses
  p not in Row.committed or p in a.saw
  holds' = holds + a->p->Reserved
  saw' = saw + a->p
  refuses' = refuses
  tell[HasReserved, p, a]
  rowUnchanged
}

// The compare-and-set on the row; its answer may be lost.
pred commit[p: Placement] {
  Row.state = Waiting // [cas]
  p not in Row.committed
  p.attempt not in Row.committed.attempt
  p.attempt = Second implies First in Row.committed.attempt
  toldBy[HasReserved, p] = Part
  Row.state' = Placed
  Row.placement' = p
  Row.committed' = Row.committed + p
  Entries.known' = Entries.known or Entries.known' = Entries.known + p
  told' = told
  agentsUnchanged
}

pred readBack[p: Placement] {
  Row.placement = p and Row.state = Placed
  Entries.known' = Entries.known + p
  told' = told
  agentsUnchanged and rowUnchanged
}

pred prepare[a: Part, p: Placement] {
  p in Entries.known // [committed]
  a.holds = p->Reserved
  holds' = holds - a->p->Reserved + a->p->Prepared
  saw' = saw and refuses' = refuses
  tell[HasPrepared, p, a]
  rowUnchanged
}

pred release[a: Part, p: Placement] {
  Part in toldBy[HasPrepared, p] // [all-prepared]
  a.holds = p->Prepared
  holds' = holds - a->p->Prepared + a->p->Running
  saw' = saw and refuses' = refuses
  tell[HasRun, p, a]
  rowUnchanged
}

pred finish[a: Part, p: Placement] {
  a.holds = p->Running
  holds' = holds - a->p->Running
  refuses' = refuses + a->p
  saw' = saw
  tell[HasFinished, p, a]
  rowUnchanged
}

// A reservation's time, the go-on or the runtime's lease has run out, or the task or the worker died.
pred lapse[a: Part, p: Placement] {
  p in Row.committed or p in a.holds.Stage
  holds' = holds - a->p->Stage
  refuses' = refuses + (p in a.holds.Stage implies a->p else none->none) // [lapsed-stays-lapsed]
  saw' = saw
  p in Row.committed implies tell[HasStopped, p, a] else entriesUnchanged
  rowUnchanged
}

pred stop[a: Part, p: Placement] {
  p in Row.committed
  p = Row.placement implies Row.state = Stopping
  holds' = holds - a->p->Stage
  refuses' = refuses + a->upTo[p] // [fence]
  saw' = saw
  tell[HasStopped, p, a]
  rowUnchanged
}

// The agent's memory is lost; tasks stay in the runtime until they lapse, and the agent finds them there.
pred crash[a: Part] {
  holds' = holds - a->Placement->Reserved
  saw' = saw - a->Placement
  refuses' = refuses - a->Placement
  entriesUnchanged and rowUnchanged
}

pred decideStop {
  Row.state = Placed
  Row.state' = Stopping
  placement' = placement and committed' = committed
  agentsUnchanged and entriesUnchanged
}

pred confirmed[p: Placement] {
  Part in toldBy[HasStopped, p] + toldBy[HasFinished, p] // [all-confirmed]
}

pred confirm {
  Row.state = Stopping
  confirmed[Row.placement]
  Row.state' in Waiting + Ended
  no Row.placement'
  committed' = committed
  agentsUnchanged and entriesUnchanged
}

pred succeed {
  Row.state = Placed
  Part in toldBy[HasFinished, Row.placement]
  Row.state' = Ended
  no Row.placement'
  committed' = committed
  agentsUnchanged and entriesUnchanged
}

// Cancelled while it waits, or no attempt is left.
pred giveUp {
  Row.state = Waiting
  Row.state' = Ended
  placement' = placement and committed' = committed
  agentsUnchanged and entriesUnchanged
}

pred stutter { agentsUnchanged and rowUnchanged and entriesUnchanged }

pred agentStep[a: Part, p: Placement] {
  reserve[a, p] or prepare[a, p] or release[a, p] or finish[a, p] or lapse[a, p] or stop[a, p]
}

pred rowStep {
  (some p: Placement | commit[p] or readBack[p]) or decideStop or confirm or succeed or giveUp
}

fact behaviour {
  init
  always (stutter or rowStep or (some a: Part | crash[a]) or (some a: Part, p: Placement | agentStep[a, p]))
}

fun tasks: Part -> Placement { holds.Prepared + holds.Running }

assert TasksOnlyOfTheRowsAttempt { always Part.tasks in Row.placement }

assert NoPartRunsBeforeAllArePrepared {
  always all p: Placement | some holds.Running.p implies Part in toldBy[HasPrepared, p]
}

assert SuccessMeansAllFinished {
  always (succeed implies Part in toldBy[HasFinished, Row.placement])
}

// Weak fairness: a step that stays possible is taken; the job's own run and the table's outages come to an end.
pred fair {
  (eventually always Row.state = Waiting) implies (always eventually giveUp)
  not eventually always Row.state = Placed
  all a: Part | (eventually always Row.state = Stopping)
    implies (always eventually (some p: Row.placement | stop[a, p] or lapse[a, p]))
  (eventually always (Row.state = Stopping and confirmed[Row.placement])) implies (always eventually confirm)
}

assert EndIsReached { fair implies eventually Row.state = Ended }

assert EndIsFinal { always (Row.state = Ended implies always (Row.state = Ended and no tasks)) }

check TasksOnlyOfTheRowsAttempt for 3 but exactly 2 Part, 10 steps
check NoPartRunsBeforeAllArePrepared for 3 but exactly 2 Part, 8 steps
check EndIsReached for 2 but exactly 2 Part, 10 steps
check EndIsFinal for 2 but exactly 2 Part, 10 steps
run AllRunAndSucceed { eventually (Part = holds.Running.Placement and eventually succeed) }
  for 1 but exactly 2 Part, 12 steps
run SecondAttemptRuns { eventually (some p: attempt.Second | Part = holds.Running.p) }
  for 2 but exactly 2 Part, 15 steps
run LostAnswerIsReadBack { eventually (some p: Placement | p in Row.committed - Entries.known and eventually prepare[Part, p]) }
  for 1 but exactly 1 Part, 6 steps
