/*
 * How soon the parts of a gang stop after one part died: the gang heartbeat of docs/DESIGN.md, with time.
 *
 * A tick is half of GANG_SILENCE_MS. The leader answers "go on" only while it has heard every part within the silence;
 * a part that was not told to go on within the silence stops. Beats and answers may be lost or late.
 * Lines with a tag in brackets are the rules that the tests break one at a time.
 */
module gangbeat

abstract sig Age { next: lone Age }
one sig A0, A1, A2 extends Age {}          // A2: the silence has passed
abstract sig Since { following: lone Since }
one sig S0, S1, S2, S3, S4, S5 extends Since {}

fact order {
  next = A0->A1 + A1->A2
  following = S0->S1 + S1->S2 + S2->S3 + S3->S4 + S4->S5
}

abstract sig Part {
  var heard: one Age,       // at the leader: since a beat of this part arrived
  var allowed: one Age,     // at the part: since the beat was sent that was answered with "go on"
  var asked: lone Age,      // since the part's beat under way was sent
  var answered: lone Part   // the part itself while an answer is under way
}
one sig Leader, Member extends Part {}  // the leader's own part beats as the others do

one sig World {
  var running: set Part,
  var dead: set Part,       // agent and task are gone
  var deathAge: lone Since  // since the first death
}

pred init {
  World.running = Part - World.dead
  (no World.dead and no World.deathAge) or (one World.dead and World.deathAge = S0)
  heard in Part->(A0 + A1) and allowed in Part->(A0 + A1)
  answered in iden
}

fun older[a: Age]: Age { a = A2 implies A2 else a.next }

// Time cannot pass beyond the moment at which a part has to stop; a frozen agent's task is stopped by its lease.
pred tick {
  all p: World.running | p.allowed != A2 // [stops-in-time]
  all p: Part | p.heard' = older[p.heard] and p.allowed' = older[p.allowed]
  all p: Part | (no p.asked implies no p.asked') and (some p.asked implies p.asked' = older[p.asked])
  answered' = answered and running' = running and dead' = dead
  deathAge' = (some World.deathAge implies World->(World.deathAge = S5 implies S5 else World.deathAge.following) else none->none)
}

pred clocksUnchanged { heard' = heard and allowed' = allowed and deathAge' = deathAge }

pred ask[p: Part] {
  p in World.running - World.dead
  asked' = asked ++ p->A0
  answered' = answered - p->Part
  clocksUnchanged and running' = running and dead' = dead
}

pred allHeard[p: Part] {
  all q: Part - p | q.heard != A2 // [all-heard]
}

// A beat under way for a whole silence is lost: its connection is closed.
pred beatArrives[p: Part] {
  p.asked in A0 + A1 and some p.asked // [in-time]
  Leader not in World.dead
  heard' = heard ++ p->A0
  answered' = (allHeard[p] implies answered + p->p else answered)
  asked' = asked and allowed' = allowed and deathAge' = deathAge and running' = running and dead' = dead
}

pred answerArrives[p: Part] {
  some p.answered and some p.asked
  allowed' = allowed ++ p->p.asked // [from-sending]
  asked' = asked - p->Age
  answered' = answered - p->Part
  heard' = heard and deathAge' = deathAge and running' = running and dead' = dead
}

pred lose[p: Part] {
  some p.asked
  asked' = asked - p->Age
  answered' = answered - p->Part
  clocksUnchanged and running' = running and dead' = dead
}

pred die[p: Part] {
  p not in World.dead
  dead' = dead + World->p
  running' = running - World->p
  asked' = asked and answered' = answered
  deathAge' = (some World.deathAge implies deathAge else World->S0)
  heard' = heard and allowed' = allowed
}

pred stop[p: Part] {
  p in World.running and p.allowed = A2
  running' = running - World->p
  clocksUnchanged and asked' = asked and answered' = answered and dead' = dead
}

fact behaviour {
  init
  always (tick
    or (some p: Part | ask[p] or beatArrives[p] or answerArrives[p] or lose[p] or die[p] or stop[p])
    or (clocksUnchanged and asked' = asked and answered' = answered and running' = running and dead' = dead))
}

/*
 * A beat of the dead part may be late by one silence, the leader notices after another and the parts after a third.
 * Since a beat that is a whole silence old is lost, that takes less than six ticks.
 */
assert AllStopAfterADeath { always (World.deathAge = S5 implies no World.running) }

check AllStopAfterADeath for 3 but 13 steps
run AllGoOnWhileTheyBeat {
  always World.running = Part
  eventually (tick and after eventually (tick and after eventually tick))
} for 3 but 12 steps
run OneRunsForTwoSilences { eventually (World.deathAge = S4 and some World.running) } for 3 but 13 steps
