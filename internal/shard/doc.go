// Package shard decides which entry is the home of each shard. State is built by
// replaying the shards stream of the log, and Manager makes the decisions of one
// entry incarnation.
//
// # Terms
//
// An entry is a process that receives submissions. An agent is a process that starts
// the tasks of submissions at upstreams. Each start of such a process is a new
// incarnation. The id of a submission determines its shard.
//
// The home of a shard is the entry that dispatches the tasks of the submissions in
// it. A claim is a record that makes an entry the home and begins the next epoch of
// the shard. The successor is an entry that the home has named to claim the shard
// when the home is lost. An orphan claim is a claim by an entry that is neither the
// home nor the successor.
//
// An agent is fenced for an epoch when it rejects tasks of lower epochs. A roster
// update tells a successor about an agent whose join is not in the log yet.
//
// # Use
//
// The owner of a Manager follows the shards stream by long polls and applies the
// records to the State. Every 25 ms it calls HandleLogRead with the time at which it
// sent the latest read that reached the end of the stream, then Tick, and executes
// the returned actions. Every 200 ms it sends the result of one Heartbeat call to
// every other entry, and it answers a received heartbeat with the result of
// HandleHeartbeat. It reports every frame from an entry with FrameReceived, and
// passes acknowledgements, roster updates and the results of appends to the methods
// that handle them. It reports the sessions, the fence confirmations and the
// departures of agents. Before it calls Serving and Usable for a dispatch, it
// determines the echo of the frame that carries the dispatch: the latest clock
// reading that it received from the agent.
//
// # Why two homes never both start a task of one shard
//
// Let H be the home of an epoch e and N the home of the next epoch. N starts no
// task before it has settled every earlier home. A home is settled when no agent
// that it can use will start another task under its epoch. Two kinds of tasks are
// exempt, since N does not start them again: tasks that N learns of, and tasks
// whose ids N dispatches to no other agent. L is Config.LeaseDuration, and C is
// Config.MaxEchoAge, the largest value of the agents' setting credit-ms.
// (docs/design.md calls the echo the session credit.)
//
//  1. Total order. The log orders all claims and all changes of successors. Each
//     record carries the offset of the shard's record on which it is based, and it
//     is valid only if no other valid record came in between. So all readers agree
//     on home, epoch and successor, and an append that takes effect late, after
//     its author timed out, is invalid if anything was decided in the
//     meantime. State implements this. The author of an append with an unknown
//     outcome behaves as if the append could take effect at any moment. The type
//     operation implements this.
//  2. Lease. H serves only until L after the sending time of (a) a read up to the
//     end of the log that shows no newer claim, or (b) a heartbeat that the
//     successor acknowledged. A successor stops acknowledging before it appends
//     its claim. A home that names another successor ignores all acknowledgements
//     from the decision until it has read that record back. So once the claim of N
//     as successor has been appended, H gains no more lease: a read sent later
//     shows the claim, and every acknowledgement that counts was sent earlier. A
//     home that hands over stops serving before it appends the claim.
//  3. Echo. A dispatch echoes a clock reading of the agent that H received
//     before it checked its lease, and the agent rejects an echo older than C. So
//     no dispatch of H is accepted later than L + C after N read its claim back,
//     no matter how long H or the network paused. N may then serve. An agent that
//     did not confirm the fencing may still have queued tasks of H, but only for
//     ids that are not provably new. N dispatches such an id to another agent only
//     after this agent has answered the recovery request for the id.
//  4. Fencing. Before that time, N may serve once every agent that H can use has
//     either departed or confirmed that it rejects lower epochs and has dropped the
//     tasks of lower epochs from its queue. H can use an agent only if its join
//     precedes N's claim in the log, or if N, as successor, acknowledged a roster
//     update about it (the roster rule). From its claim until L + C after it read
//     the claim back, N acknowledges no roster updates from H.
//  5. Orphan claims. After an orphan claim, N does not control H's lease: H and
//     its successor S may be on the other side of a network partition, where they
//     can renew the lease indefinitely. So waiting is not enough, and every
//     present agent must have confirmed the fencing. Agents that joined during a
//     log outage may be known to H and S only. Such agents can exist only if H had
//     a successor and did not leave gracefully. In that case (OrphanedPair) N also
//     waits until H or S has provably ended or has reported in a heartbeat that it
//     read the claim, and then for another L + C, since the other one now needs
//     the log for its lease. N also answers with outcome-unknown to an id that it
//     does not know and that is not provably new.
//  6. Chains. A successor may settle earlier homes by waiting only if the previous
//     home had settled the homes before it or could itself have settled them by
//     waiting. State keeps this in EpochInfo.SettlesByTimeout.
//
// This relies on the following assumptions. The monotonic clocks of all processes
// run at the same rate, within the difference between C and a round trip. At most
// one incarnation of an entry or agent name runs at a time, and the incarnations
// of one name ascend as text (UUIDv7). Agents keep their highest epochs and their
// ledger for the life of their incarnation. An operator retires only hosts that
// are permanently removed.
package shard
