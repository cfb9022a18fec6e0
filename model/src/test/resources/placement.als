/*
 * The placement of one task by the rules of docs/PLATFORM.md.
 *
 * A incarnation is one registration of a worker. Schedulers act on what they read when they took office and wrote since; any of
 * them may act at any time. An order that was sent may arrive late, often or never.
 * Lines with a tag in brackets are the rules that the tests break one at a time.
 */
module placement

sig Run {}
sig Incarnation {}
sig Scheduler {
  var view: Run -> Incarnation        // the orders as it knows them
}

one sig Store {
  var office: one Scheduler,
  var orders: Run -> Incarnation,     // runs that are ordered or being stopped
  var stops: set Run,
  var ends: set Run,           // done, as the agents' reports have them
  var lost: set Incarnation,
  var done: lone Incarnation          // any value: the task is recorded as done
}

one sig World {
  var placed: set Run,         // numbers are used once
  var where: Run -> lone Incarnation,
  var sent: set Run,
  var live: set Run,
  var over: set Run,
  var finished: set Run,       // ended by itself
  var acked: set Run,          // ends that the worker was told to forget
  var leased: set Incarnation
}

pred init {
  no view and no orders and no stops and no ends and no lost and no done
  no placed and no where and no sent and no live and no over and no finished and no acked
  World.leased = Incarnation
}

pred storeUnchanged {
  view' = view and office' = office and orders' = orders and stops' = stops and lost' = lost and done' = done
  placed' = placed and where' = where
}
pred endsUnchanged { ends' = ends and acked' = acked }
pred workersUnchanged { sent' = sent and live' = live and over' = over and finished' = finished and leased' = leased }

pred takeOffice[s: Scheduler] {
  office' = Store->s
  view' = view - s->Run->Incarnation + s->(Store.orders)
  orders' = orders and stops' = stops and lost' = lost and done' = done and placed' = placed and where' = where
  endsUnchanged and workersUnchanged
}

pred inOffice[s: Scheduler] {
  s = Store.office // [guarded]
}

pred place[s: Scheduler, r: Run, l: Incarnation] {
  inOffice[s]
  no s.view // [free]
  no Store.done
  r not in World.placed and l not in Store.lost
  orders' = orders + Store->r->l
  view' = view + s->r->l
  placed' = placed + World->r and where' = where + World->r->l
  office' = office and stops' = stops and lost' = lost and done' = done
  endsUnchanged and workersUnchanged
}

// The agent acts on orders that it read, also when they have changed since.
pred send[r: Run] {
  r in World.placed
  sent' = sent + World->r
  live' = live and over' = over and finished' = finished and leased' = leased
  storeUnchanged and endsUnchanged
}

pred start[r: Run] {
  r in World.sent
  r not in World.over // [stopped-stays-stopped]
  r.(World.where) in World.leased // [late]
  live' = live + World->r
  sent' = sent and over' = over and finished' = finished and leased' = leased
  storeUnchanged and endsUnchanged
}

pred finish[r: Run] {
  r in World.live
  live' = live - World->r and over' = over + World->r and finished' = finished + World->r
  sent' = sent and leased' = leased
  storeUnchanged and endsUnchanged
}

pred reportEnd[r: Run] {
  r in World.finished
  r.(World.where) not in Store.lost // [row]
  ends' = ends + Store->r
  acked' = acked
  storeUnchanged and workersUnchanged
}

pred acknowledge[r: Run] {
  r in World.finished
  r in Store.ends // [stored-first]
  acked' = acked + World->r
  ends' = ends
  storeUnchanged and workersUnchanged
}

pred drop[s: Scheduler, gone: set Run] {
  orders' = orders - Store->gone->Incarnation and view' = view - s->gone->Incarnation
  office' = office and placed' = placed and where' = where
  endsUnchanged and workersUnchanged
}

pred takeEnd[s: Scheduler, r: Run] {
  inOffice[s] and r in Store.ends
  drop[s, r]
  done' = Store->r.(World.where) and stops' = stops and lost' = lost
}

pred stop[s: Scheduler, r: Run] {
  inOffice[s] and some r.(s.view)
  stops' = stops + Store->r
  office' = office and view' = view and orders' = orders and lost' = lost and done' = done
  placed' = placed and where' = where
  endsUnchanged and workersUnchanged
}

pred carryOutStop[r: Run] {
  r in Store.stops
  live' = live - World->r and over' = over + World->r
  sent' = sent and finished' = finished and leased' = leased
  storeUnchanged and endsUnchanged
}

// The worker's report no longer shows a run that was to be stopped, and lists no end of it.
pred seeGone[s: Scheduler, r: Run] {
  inOffice[s] and r in Store.stops
  r in World.over // [shown]
  r not in World.finished // [end-counts]
  drop[s, r]
  done' = done and stops' = stops and lost' = lost
}

pred lose[s: Scheduler, l: Incarnation] {
  inOffice[s]
  l not in World.leased // [lapsed]
  l not in Store.lost
  no Store.ends & (World.where).l // [ends-first]
  drop[s, (World.where).l]
  lost' = lost + Store->l
  done' = done and stops' = stops
}

pred lapse[l: Incarnation] {
  leased' = leased - World->l
  live' = live - World->(World.where).l and over' = over + World->(World.live & (World.where).l)
  sent' = sent and finished' = finished
  storeUnchanged and endsUnchanged
}

pred renew[l: Incarnation] {
  l not in Store.lost // [confirmed]
  leased' = leased + World->l
  sent' = sent and live' = live and over' = over and finished' = finished
  storeUnchanged and endsUnchanged
}

pred stutter { storeUnchanged and endsUnchanged and workersUnchanged }

fact behaviour {
  init
  always (stutter
    or (some s: Scheduler | takeOffice[s])
    or (some s: Scheduler, r: Run, l: Incarnation | place[s, r, l])
    or (some r: Run | send[r] or start[r] or finish[r] or reportEnd[r] or acknowledge[r] or carryOutStop[r])
    or (some s: Scheduler, r: Run | takeEnd[s, r] or stop[s, r] or seeGone[s, r])
    or (some s: Scheduler, l: Incarnation | lose[s, l])
    or (some l: Incarnation | lapse[l] or renew[l]))
}

assert OneRunAtATime { always lone World.live }
assert NothingAfterANotedEnd { always (some World.acked implies always no World.live) }

check OneRunAtATime for 2 but 11 steps
check NothingAfterANotedEnd for 2 but 1 Scheduler, 13 steps
run IsDone { eventually some Store.done } for 2 but 8 steps
run RunsAgainAfterALoss { eventually (some Store.lost and eventually some World.live) } for 2 but 9 steps
run RunsAgainAfterAStop { eventually (some Store.stops & World.over and eventually some World.live) } for 2 but 9 steps
