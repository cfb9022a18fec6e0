/*
 * The claims of non-idempotent requests of docs/DESIGN.md.
 *
 * An id may be used by two requests with different bodies. Any entry may handle any request at any time and again,
 * which covers callers that retry elsewhere, entries that crashed or paused, and write answers that were lost.
 * A message that was sent may arrive late, often or never, until the incarnation that it names has ended.
 * Lines with a tag in brackets are the rules that the tests break one at a time.
 */
module claim

sig Id {
  var body: lone Request,      // the row: whose claim it is,
  var target: lone Agent,      // the incarnation that it is bound to
  var outcome: lone Outcome,   // and what is recorded
  var answer: lone Run
}
sig Request { id: one Id }
sig Target {}
sig Agent {                    // one incarnation of the agent beside a target
  at: one Target,
  var sent: set Request,       // Execute messages that name this incarnation
  var ran: set Request,        // its memory
  var refused: set Id
}
sig Run {
  of: one Request,
  by: one Agent
}

abstract sig Outcome {}
one sig Answered, Refused, Unknown extends Outcome {}

one sig World {
  var live: set Agent,
  var ended: set Agent,
  var runs: set Run,
  var answered: Request -> Run, // what callers were told
  var notRun: set Request
}

pred init {
  no body and no target and no outcome and no answer
  no sent and no ran and no refused
  no World.ended and no World.runs and no World.answered and no World.notRun
  all t: Target | one World.live & at.t
}

pred rowsUnchanged { body' = body and target' = target and outcome' = outcome and answer' = answer }
pred memoryUnchanged { ran' = ran and refused' = refused }
pred livesUnchanged { live' = live and ended' = ended }
pred toldUnchanged { answered' = answered and notRun' = notRun }

// Creates the row if there is none; the entry may never learn that it did.
pred claim[r: Request, a: Agent] {
  no r.id.body // [create]
  a in World.live
  body' = body ++ r.id->r and target' = target ++ r.id->a
  outcome' = outcome and answer' = answer
  sent' = sent and runs' = runs
  memoryUnchanged and livesUnchanged and toldUnchanged
}

// Its own claim that was never sent, or the agent has never seen it.
pred send[r: Request, a: Agent] {
  a = r.id.target // [bound]
  r = r.id.body
  no r.id.outcome
  sent' = sent + a->r
  runs' = runs
  rowsUnchanged and memoryUnchanged and livesUnchanged and toldUnchanged
}

pred run1[r: Request, a: Agent] {
  a in World.live
  r in a.sent // [incarnation]
  r.id not in a.ran.id // [once]
  r.id not in a.refused // [refused-stays-refused]
  some x: Run - World.runs {
    x.of = r and x.by = a
    runs' = runs + World->x
  }
  ran' = ran + a->r
  refused' = refused and sent' = sent
  rowsUnchanged and livesUnchanged and toldUnchanged
}

pred refuse[r: Request, a: Agent] {
  a in World.live and r in a.sent
  r.id not in a.ran.id // [refuses-only-what-never-ran]
  refused' = refused + a->r.id
  ran' = ran and sent' = sent and runs' = runs
  rowsUnchanged and livesUnchanged and toldUnchanged
}

pred end[a: Agent] {
  a in World.live
  live' = live - World->a or (some b: at.(a.at) - World.live - World.ended | live' = live - World->a + World->b)
  ended' = ended + World->a
  sent' = sent and runs' = runs
  rowsUnchanged and memoryUnchanged and toldUnchanged
}

pred record[i: Id, o: Outcome] {
  some i.body and no i.outcome
  outcome' = outcome + i->o
  body' = body and target' = target
  sent' = sent and runs' = runs
  memoryUnchanged and livesUnchanged and toldUnchanged
}

// What the agent says is recorded; only the incarnation in the row knows more than "unknown".
pred recordAnswer[i: Id] {
  record[i, Answered]
  some x: World.runs & of.(i.body) & by.(i.target) | answer' = answer + i->x
}

pred recordRefusal[i: Id] {
  record[i, Refused]
  i in i.target.refused // [says-the-claimed]
  answer' = answer
}

pred recordUnknown[i: Id] { record[i, Unknown] and answer' = answer }

pred tellAnswer[r: Request] {
  r.id.outcome = Answered
  r = r.id.body // [own-answer]
  answered' = answered + World->r->r.id.answer
  notRun' = notRun
  sent' = sent and runs' = runs
  rowsUnchanged and memoryUnchanged and livesUnchanged
}

pred tellNotRun[r: Request] {
  r.id.outcome = Refused and r = r.id.body
  notRun' = notRun + World->r
  answered' = answered
  sent' = sent and runs' = runs
  rowsUnchanged and memoryUnchanged and livesUnchanged
}

pred stutter {
  sent' = sent and runs' = runs
  rowsUnchanged and memoryUnchanged and livesUnchanged and toldUnchanged
}

fact behaviour {
  init
  always (stutter
    or (some a: Agent | end[a])
    or (some r: Request, a: Agent | claim[r, a] or send[r, a] or run1[r, a] or refuse[r, a])
    or (some i: Id | recordAnswer[i] or recordRefusal[i] or recordUnknown[i])
    or (some r: Request | tellAnswer[r] or tellNotRun[r]))
}

assert AtMostOneRun { always all i: Id | lone World.runs & of.(id.i) }
assert NotRunIsTrue { always all r: World.notRun | always no World.runs & of.r }
assert AnswerIsOfItsRequest { always all r: Request | r.(World.answered) in of.r }
assert OutcomeIsFinal { always all i: Id, o: Outcome | i.outcome = o implies always i.outcome = o }

check AtMostOneRun for 3 but 2 Id, 2 Run, 8 steps
check NotRunIsTrue for 3 but 2 Id, 2 Run, 8 steps
check AnswerIsOfItsRequest for 3 but 2 Id, 2 Run, 8 steps
check OutcomeIsFinal for 2 but 8 steps
run AnswerIsTold { eventually some World.answered } for 2 but 8 steps
run NotRunIsTold { eventually some World.notRun } for 2 but 8 steps
run RetryAfterRestart { eventually (some World.ended and eventually (some r: Request, a: World.live | run1[r, a])) } for 2 but 8 steps
