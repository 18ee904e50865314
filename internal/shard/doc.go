// Package shard decides which entry is the home of each shard. State folds the
// shards stream of the log; Manager decides for one entry incarnation.
//
// # Use
//
// The owner of a Manager reads the shards stream to its end about every 50 ms,
// applies the records to the State, calls LogRead with the time at which it sent
// the read, then Tick, and executes the actions. Every 200 ms it sends the result
// of one Heartbeat call to every other entry, and it answers a received one with
// the result of HandleHeartbeat. It reports each other frame of an entry with
// FrameReceived, and the sessions and fence confirmations of agents. A dispatch is added to a frame
// whose echo has been read before Serving and Usable were called for it.
//
// # Why two homes never both start a task of one shard
//
// Let H be the home of an epoch e and N the home of the next epoch. N starts
// nothing before it has settled every earlier home; a home is settled when no
// agent that it can use will start a task under its epoch unless N learns of
// that task or gives no task of the same id to another agent.
//
//  1. One order. The log orders all claims and namings. Each carries the offset
//     of the shard's record that it is based on and is valid only if no other
//     valid one came between. So all readers agree on home, epoch and successor,
//     and an append that takes effect late, after its author gave up waiting,
//     is invalid if anything was decided since. The fold owns this state. An
//     author whose append is unsettled behaves as if it could take effect at
//     any moment (Manager owns this in operation).
//  2. Lease. H serves only until L after the sending time of (a) a read of the
//     log's end that shows no newer claim, or (b) a heartbeat that the named
//     successor acknowledged. A successor stops acknowledging before it appends
//     its claim, and a home that names another successor stops counting
//     acknowledgements before it appends that and until it has read it back.
//     So after the claim of N as successor is appended, H gains no lease: a
//     read sent later shows the claim, and an acknowledgement that counts was
//     sent before. A home that hands over stops before it appends the claim.
//  3. Credit. A dispatch echoes a clock reading of the agent that H received
//     before it checked its lease, and the agent rejects an echo older than C.
//     So L + C after N read its claim back no dispatch of H is accepted, no
//     matter how long H or the network paused. N may then serve: an agent that
//     did not answer may hold queued tasks of H, but only of ids stamped
//     before, which N gives to nobody without the agent's answer.
//  4. Promises. Before that time, N serves once every agent that H can use has
//     promised to reject lower epochs and has dropped its queued tasks, or is
//     departed. H can use an agent only if its join is in the log below N's
//     claim, or if N, as successor, acknowledged a note about it (roster rule).
//     N acknowledges no notes from H from its claim until H's lease is over.
//  5. Orphan claims. The claimer does not control H's lease: H and its
//     successor S may renew it on the far side of a partition for any length of
//     time. So time alone settles nothing: every present agent must have
//     promised. Agents that joined while the log was away may be known to H and
//     S only. They exist only if H had a successor and did not leave in order.
//     In that case (OrphanedPair) N also waits until H or S provably ended, or told in a
//     heartbeat that it has read the claim, and for L + C after that, since the
//     other one then needs the log for its lease; and N declares unknown ids
//     that are not fresh outcome-unknown.
//  6. Chains. A successor may use the time rule only if the home before it had
//     settled the homes before that one, or could itself use the time rule. The
//     fold keeps this in EpochInfo.SettlesByTimeout.
//
// The assumptions: monotonic clocks of all processes run at the same rate within
// the difference between C and a round trip; a host slot runs at most one
// incarnation of an entry or agent at a time, and incarnations of one name
// ascend as text (UUIDv7); agents keep their highest epochs and their ledger for
// the life of their incarnation; an operator retires only hosts that are gone.
package shard
