/*
 * The answer 3001 (not run) of docs/DESIGN.md, for one request whose copies reach any entry at any time.
 *
 * An entry says 3001 after it has buried the request at itself and at every entry that it sees. An entry that starts
 * makes itself seen before it pulls tombstones, and pulls them before it serves. An entry that was lost can't say what
 * it started, so entries that know of a loss do not say 3001.
 * Lines with a tag in brackets are the rules that the tests break one at a time.
 */
module tombstone

sig Entry {
  var sees: set Entry,      // peers that it has heard
  var seenBy: set Entry,    // peers that answered its heartbeat in this life
  var pulled: set Entry,    // peers whose tombstones it holds
  var acked: set Entry      // peers that answered its burial
}

one sig World {
  var up: set Entry,
  var serving: set Entry,
  var tombstoned: set Entry,
  var started: set Entry,   // entries that remember that they started a copy
  var ran: set Entry,       // where a copy was started, for the checks only
  var lossy: set Entry,     // entries that noticed the loss of a peer, or heard of it from another
  var said: set Entry       // entries that answered 3001
}

// Some entries may have started a copy and died already; each that serves either noticed that or is about to.
pred init {
  World.up = World.serving and some World.serving
  World.ran in Entry - World.up
  all e: World.up | World.up - e in e.sees and (World.ran in e.sees or e in World.lossy)
  sees in World.up->Entry - iden and World.lossy in World.up
  no seenBy and no pulled and no acked
  no World.tombstoned and no World.started and no World.said
}

pred viewsUnchanged { sees' = sees and seenBy' = seenBy and pulled' = pulled and acked' = acked }
pred livesUnchanged { up' = up and serving' = serving and lossy' = lossy }
pred requestUnchanged { tombstoned' = tombstoned and started' = started and ran' = ran and said' = said }

// A copy reaches an entry, perhaps long after another copy was refused.
pred admit[e: Entry] {
  e in World.serving
  e not in World.tombstoned // [excludes]
  started' = started + World->e and ran' = ran + World->e
  tombstoned' = tombstoned and said' = said
  viewsUnchanged and livesUnchanged
}

pred buryHere[e: Entry] {
  e in World.serving
  e not in World.started // [not-started]
  tombstoned' = tombstoned + World->e
  started' = started and ran' = ran and said' = said
  viewsUnchanged and livesUnchanged
}

pred buryAt[e, peer: Entry] {
  e in World.tombstoned and peer in e.sees & World.up
  peer in World.serving // [joined-before-answer]
  peer not in World.started
  tombstoned' = tombstoned + World->peer
  acked' = acked + e->peer
  sees' = sees and seenBy' = seenBy and pulled' = pulled
  started' = started and ran' = ran and said' = said
  livesUnchanged
}

pred sayNotRun[e: Entry] {
  e in World.serving & World.tombstoned
  e.sees in e.acked // [all-answered]
  e not in World.lossy // [no-loss]
  said' = said + World->e
  tombstoned' = tombstoned and started' = started and ran' = ran
  viewsUnchanged and livesUnchanged
}

pred start[e: Entry] {
  e not in World.up
  up' = up + World->e
  serving' = serving and lossy' = lossy
  viewsUnchanged and requestUnchanged
}

// A heartbeat of one entry reaches another, which answers; a new life of a known peer is a loss.
pred hear[e, peer: Entry] {
  e != peer and e in World.up and peer in World.up - World.serving
  sees' = sees + e->peer + peer->e
  seenBy' = seenBy + peer->e
  acked' = (peer in e.seenBy implies acked else acked - e->peer)
  lossy' = (peer in e.sees and e not in peer.sees implies lossy + World->e else lossy) // [restart-is-loss]
  pulled' = pulled and up' = up and serving' = serving
  requestUnchanged
}

pred pull[e, peer: Entry] {
  e in World.up - World.serving and peer in World.up
  peer in e.seenBy // [join-before-pull]
  pulled' = pulled + e->peer
  tombstoned' = (peer in World.tombstoned implies tombstoned + World->e else tombstoned)
  lossy' = (peer in World.lossy implies lossy + World->e else lossy) // [loss-is-pulled]
  sees' = sees + e->(peer.sees - e) // [views-are-pulled]
  seenBy' = seenBy and acked' = acked and up' = up and serving' = serving
  started' = started and ran' = ran and said' = said
}

pred serve[e: Entry] {
  e in World.up - World.serving
  World.up - e in e.pulled // [pull-before-serve]
  serving' = serving + World->e
  up' = up and lossy' = lossy
  viewsUnchanged and requestUnchanged
}

// The entry dies with its memory. Copies that it sent on have run or will. One entry at least lives on.
pred crash[e: Entry] {
  e in World.up
  some World.serving - e // [one-survives]
  up' = up - World->e and serving' = serving - World->e and lossy' = lossy - World->e
  tombstoned' = tombstoned - World->e and started' = started - World->e
  ran' = ran and said' = said
  sees' = sees - e->Entry and seenBy' = seenBy - e->Entry
  pulled' = pulled - e->Entry and acked' = acked - e->Entry
}

// A peer fell silent; that is the loss of what it remembered.
pred notice[e, peer: Entry] {
  e in World.up and peer in e.sees - World.up
  sees' = sees - e->peer
  acked' = acked - e->peer
  seenBy' = seenBy - e->peer and pulled' = pulled
  lossy' = lossy + World->e // [silence-is-loss]
  up' = up and serving' = serving
  requestUnchanged
}

fact behaviour {
  init
  always ((viewsUnchanged and livesUnchanged and requestUnchanged)
    or (some e: Entry | admit[e] or buryHere[e] or sayNotRun[e] or start[e] or serve[e] or crash[e])
    or (some e, p: Entry | buryAt[e, p] or hear[e, p] or pull[e, p] or notice[e, p]))
}

// 3001 says that no copy has run and that none will run.
assert NotRunIsTrue { always (some World.said implies always no World.ran) }

assert NotRunIsTrueLonger { always (some World.said implies always no World.ran) }

check NotRunIsTrue for 3 but 7 steps
check NotRunIsTrueLonger for 3 but 8 steps
run NotRunIsSaid { #World.up = 3 and eventually some World.said } for 3 but 8 steps
run NewEntryServes { some Entry - World.up and eventually World.serving = Entry } for 3 but 10 steps
run NewEntryServesAfterRefusal { eventually (some World.said and some Entry - World.up and eventually World.serving = Entry) }
  for 3 but 10 steps
