package shard

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// simStep is the time step of the simulation in milliseconds.
const simStep = 10

// simShards are the shards that the simulated callers use.
var simShards = []gypsumtide.ShardID{0, 1, 2, 3, 4, 5}

// simClock is a clock with its own offsets from the simulated time.
type simClock struct {
	sim        *simulation
	mono, wall gypsumtide.Millis
}

func (c *simClock) Now() gypsumtide.Millis  { return c.sim.now + c.mono }
func (c *simClock) Wall() gypsumtide.Millis { return 1_700_000_000_000 + c.sim.now + c.wall }

// message is an event in transit, such as a frame or a reply of the log. It is
// delivered at the time at by a call of run. If to is dead, the message is dropped;
// while to is paused, it is delayed. to is nil if the receiver is not an entry.
type message struct {
	at  gypsumtide.Millis
	to  *simEntry
	run func()
}

// simEntry drives a Manager. As home of a shard it dispatches the submissions in it,
// which have one task each.
type simEntry struct {
	sim            *simulation
	clock          *simClock
	info           wire.EntryInfo
	state          *State
	manager        *Manager
	dead           bool
	pausedUntil    gypsumtide.Millis
	logUnreachable bool
	readPending    bool
	// clockReadings holds the latest clock reading received from each agent, which a
	// dispatch to the agent echoes.
	clockReadings map[*simAgent]gypsumtide.Millis
	sessions      map[*simAgent]bool
	// handled is keyed by the text of an id and the epoch under which this entry has
	// handled the id.
	handled map[string]bool
}

// simAgent applies the agent's rules: it rejects too old echoes, lower epochs and
// ids that are already in its ledger.
type simAgent struct {
	sim    *simulation
	clock  *simClock
	record wire.AgentRecord
	dead   bool
	epochs map[gypsumtide.ShardID]uint64
	// recoveredUnder holds, by id, the highest epoch under which a home has asked this
	// agent whether it started the task. Dispatches of lower epochs are rejected.
	recoveredUnder map[gypsumtide.SubmissionID]uint64
	// ledger holds the ids whose task has started. queued holds the ids whose task waits
	// to start, with the epochs of their dispatches.
	ledger map[gypsumtide.SubmissionID]bool
	queued map[gypsumtide.SubmissionID]uint64
}

// simulation holds the simulated processes, their log, the messages in transit and the
// current faults.
type simulation struct {
	rng *rand.Rand
	now gypsumtide.Millis
	// log holds the records of the shards stream; the index is the offset.
	log     [][]byte
	logDown bool
	// lostReplyPercent is the share of appends whose reply is lost.
	lostReplyPercent int
	messages         []message
	entries          []*simEntry
	agents           []*simAgent
	// cutLinks holds the keys (see linkKey) of the links that are cut.
	cutLinks    map[string]bool
	ids         []gypsumtide.SubmissionID
	startCounts map[gypsumtide.SubmissionID]int
	// incarnations is the number of incarnations created.
	incarnations int
	// fencingOff makes the agents accept lower epochs and too old echoes, and
	// disabled switches off rules of the managers.
	fencingOff bool
	disabled   disabledRules
	// violation describes the first violated rule, or is empty.
	violation       string
	tasksStarted    int
	unknownOutcomes int
}

func newSimulation(seed uint64) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[string]bool{}, startCounts: map[gypsumtide.SubmissionID]int{}}
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

func (sim *simulation) newClock() *simClock {
	return &simClock{sim: sim, mono: gypsumtide.Millis(sim.rng.IntN(100_000) + 1), wall: gypsumtide.Millis(sim.rng.IntN(481) - 240)}
}

func (sim *simulation) addEntry(name string) *simEntry {
	sim.entries = append(sim.entries, sim.newEntry(name))
	return sim.entries[len(sim.entries)-1]
}

func (sim *simulation) newEntry(name string) *simEntry {
	sim.incarnations++
	e := &simEntry{sim: sim, clock: sim.newClock(), state: NewState(), clockReadings: map[*simAgent]gypsumtide.Millis{}, sessions: map[*simAgent]bool{}, handled: map[string]bool{}}
	e.info = wire.EntryInfo{Name: name, Incarnation: fmt.Sprintf("%s#%06d", name, sim.incarnations)}
	e.manager = New(DefaultConfig(e.info), e.state, e.clock)
	e.manager.disabled = sim.disabled
	return e
}

func (sim *simulation) addAgent(name string) *simAgent {
	sim.agents = append(sim.agents, sim.newAgent(name))
	return sim.agents[len(sim.agents)-1]
}

func (sim *simulation) newAgent(name string) *simAgent {
	sim.incarnations++
	a := &simAgent{sim: sim, clock: sim.newClock(), epochs: map[gypsumtide.ShardID]uint64{}, recoveredUnder: map[gypsumtide.SubmissionID]uint64{}}
	a.ledger, a.queued = map[gypsumtide.SubmissionID]bool{}, map[gypsumtide.SubmissionID]uint64{}
	a.record = wire.AgentRecord{Name: name, Incarnation: fmt.Sprintf("%s#%06d", name, sim.incarnations), Zone: "z" + name[len(name)-1:]}
	return a
}

// linkKey returns the key of the link between two incarnations.
func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (sim *simulation) linked(a, b string) bool { return !sim.cutLinks[linkKey(a, b)] }

// send sends a message if the link is up now. A link that is cut later does not stop
// the message.
func (sim *simulation) send(from, to string, target *simEntry, delay int, run func()) {
	if sim.linked(from, to) {
		sim.messages = append(sim.messages, message{at: sim.now + gypsumtide.Millis(delay), to: target, run: run})
	}
}

func (sim *simulation) delay() int { return simStep + sim.rng.IntN(3)*simStep }

// step advances time by simStep.
func (sim *simulation) step() {
	sim.now += simStep
	sim.deliver()
	for _, e := range sim.entries {
		if !e.dead && sim.now >= e.pausedUntil {
			e.run()
		}
	}
	for _, a := range sim.agents {
		if !a.dead {
			a.run()
		}
	}
	if sim.now%100 == 0 {
		sim.submit()
		sim.checkHomes()
	}
}

func (sim *simulation) deliver() {
	due := sim.messages
	sim.messages = nil
	for _, msg := range due {
		switch {
		case msg.to != nil && msg.to.dead:
		case msg.at > sim.now || msg.to != nil && msg.to.pausedUntil > sim.now:
			sim.messages = append(sim.messages, msg)
		default:
			msg.run()
		}
	}
}

func (e *simEntry) run() {
	sim := e.sim
	// The entries do their periodic work at different times, since their clocks have
	// different offsets.
	phase := sim.now + gypsumtide.Millis(e.clock.mono%20)*simStep
	if phase%50 == 0 {
		e.readLog()
		for _, a := range e.manager.Tick() {
			e.execute(a)
		}
	}
	if phase%200 == 0 {
		hb := e.manager.Heartbeat()
		for _, p := range sim.entries {
			if p != e && !p.dead {
				e.heartbeat(p, hb)
			}
		}
	}
}

func (e *simEntry) heartbeat(p *simEntry, hb wire.Heartbeat) {
	sim, from, to := e.sim, e.info.Incarnation, p.info.Incarnation
	sim.send(from, to, p, sim.delay(), func() {
		ack := p.manager.HandleHeartbeat(from, &hb)
		sim.send(to, from, e, sim.delay(), func() { e.manager.HandleAck(to, &ack) })
	})
}

// readLog sends a read of the log. The reply arrives later, perhaps after a pause of
// the entry.
func (e *simEntry) readLog() {
	sim := e.sim
	if e.readPending || e.logUnreachable || sim.logDown {
		return
	}
	e.readPending = true
	sent := e.clock.Now()
	end := len(sim.log)
	sim.messages = append(sim.messages, message{at: sim.now + gypsumtide.Millis(sim.delay()), to: e, run: func() {
		e.readPending = false
		for i := int(e.state.Next()); i < end; i++ {
			e.state.Apply(uint64(i), sim.log[i])
		}
		e.manager.HandleLogRead(sent)
	}})
}

var errConnectionRefused = errors.New("connection refused")

func (e *simEntry) execute(a Action) {
	sim := e.sim
	switch a.Kind {
	case ActionAppend:
		e.append(a)
	case ActionSendFenceRequests:
		if ag := sim.agent(a.Peer); ag != nil {
			sim.send(e.info.Incarnation, a.Peer, nil, sim.delay(), func() { ag.confirmFences(e, a.FenceRequests) })
		}
	case ActionSendRosterUpdates:
		for _, p := range sim.entries {
			if p.info.Incarnation == a.Peer {
				sim.send(e.info.Incarnation, a.Peer, p, sim.delay(), func() {
					acks := p.manager.HandleRosterUpdates(e.info.Incarnation, a.RosterUpdates)
					sim.send(a.Peer, e.info.Incarnation, e, sim.delay(), func() { e.manager.HandleRosterAcks(a.Peer, acks) })
				})
			}
		}
	}
}

func (e *simEntry) append(a Action) {
	sim := e.sim
	reply := func(offset uint64, err error) {
		sim.messages = append(sim.messages, message{at: sim.now + gypsumtide.Millis(sim.delay()), to: e, run: func() { e.manager.HandleAppendResult(a.ID, offset, err) }})
	}
	if e.logUnreachable || sim.logDown {
		reply(0, errConnectionRefused)
		return
	}
	if !sim.chance(sim.lostReplyPercent) {
		sim.log = append(sim.log, a.Record)
		reply(uint64(len(sim.log)-1), nil)
		return
	}
	// The reply is lost, and the record takes effect now, later or never.
	if sim.chance(70) {
		at := sim.now + gypsumtide.Millis(sim.rng.IntN(2)*sim.rng.IntN(4000))
		sim.messages = append(sim.messages, message{at: at, run: func() { sim.log = append(sim.log, a.Record) }})
	}
	reply(0, fmt.Errorf("append: %w", gypsumtide.ErrAppendOutcomeUnknown))
}

func (sim *simulation) agent(incarnation string) *simAgent {
	for _, a := range sim.agents {
		if a.record.Incarnation == incarnation && !a.dead {
			return a
		}
	}
	return nil
}

func (a *simAgent) run() {
	sim := a.sim
	for id, epoch := range a.queued {
		if epoch < a.recoveredUnder[id] && !sim.fencingOff {
			delete(a.queued, id)
		}
	}
	for _, id := range sim.ids {
		if _, ok := a.queued[id]; ok && sim.chance(8) {
			delete(a.queued, id)
			if !a.ledger[id] {
				a.ledger[id] = true
				sim.start(id, a)
			}
		}
	}
	if (sim.now+gypsumtide.Millis(a.clock.mono%20)*simStep)%100 != 0 {
		return
	}
	for _, e := range sim.entries {
		if e.dead {
			continue
		}
		up := sim.linked(e.info.Incarnation, a.record.Incarnation)
		if !up && e.sessions[a] {
			delete(e.sessions, a)
			e.manager.AgentDisconnected(a.record.Incarnation)
		}
		reading := a.clock.Now()
		sim.send(a.record.Incarnation, e.info.Incarnation, e, sim.delay(), func() {
			e.clockReadings[a] = max(e.clockReadings[a], reading)
			if !e.sessions[a] && !a.dead {
				e.sessions[a] = true
				e.manager.AgentConnected(a.record)
			}
		})
	}
}

// confirmFences handles fence requests: it drops queued tasks of lower epochs and
// confirms the highest epochs.
func (a *simAgent) confirmFences(e *simEntry, fences []wire.ShardEpoch) {
	if a.dead {
		return
	}
	for _, fence := range fences {
		a.epochs[fence.Shard] = max(a.epochs[fence.Shard], fence.Epoch)
		for id, epoch := range a.queued {
			if id.Shard() == fence.Shard && epoch < fence.Epoch && !a.sim.fencingOff {
				delete(a.queued, id)
			}
		}
		reply := wire.ShardEpoch{Shard: fence.Shard, Epoch: a.epochs[fence.Shard]}
		a.sim.send(a.record.Incarnation, e.info.Incarnation, e, a.sim.delay(), func() { e.manager.FenceConfirmed(a.record.Incarnation, reply) })
	}
}

func (a *simAgent) accepts(shard gypsumtide.ShardID, epoch uint64, echo gypsumtide.Millis) bool {
	return !a.dead && (a.sim.fencingOff || epoch >= a.epochs[shard] && a.clock.Now()-echo <= 1000)
}

func (a *simAgent) dispatch(id gypsumtide.SubmissionID, epoch uint64, echo gypsumtide.Millis) {
	if !a.accepts(id.Shard(), epoch, echo) || a.ledger[id] || epoch < a.recoveredUnder[id] && !a.sim.fencingOff {
		return
	}
	a.epochs[id.Shard()] = max(a.epochs[id.Shard()], epoch)
	a.queued[id] = epoch
}

func (sim *simulation) start(id gypsumtide.SubmissionID, a *simAgent) {
	sim.tasksStarted++
	sim.startCounts[id]++
	if sim.startCounts[id] > 1 {
		sim.fail("%s started twice, again at %s, shard %d", id, a.record.Incarnation, id.Shard())
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %d ms: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// submit creates a new id and submits random recent ids, which may include the new
// one, to all entries.
func (sim *simulation) submit() {
	var id gypsumtide.SubmissionID
	for {
		timestamp := uint64(1_700_000_000_000+sim.now) + uint64(sim.rng.IntN(500)) - 250
		for i := range id {
			id[i] = byte(sim.rng.IntN(256))
		}
		for i := range 6 {
			id[i] = byte(timestamp >> (8 * (5 - i)))
		}
		if int(id.Shard()) < len(simShards) {
			break
		}
	}
	sim.ids = append(sim.ids, id)
	recent := sim.ids[max(0, len(sim.ids)-80):]
	for range 6 {
		for _, e := range sim.entries {
			e.handleSubmission(recent[sim.rng.IntN(len(recent))])
		}
	}
}

// handleSubmission dispatches a provably new id (see Manager.ProvablyNew) at once. It
// dispatches any other id only after all agents that may have started it answered that
// they did not.
func (e *simEntry) handleSubmission(id gypsumtide.SubmissionID) {
	sim := e.sim
	if e.dead || sim.now < e.pausedUntil {
		return
	}
	epoch, ok := e.manager.Serving(id.Shard())
	key := fmt.Sprint(id, epoch)
	if !ok || e.handled[key] || id.Timestamp() > e.clock.Wall()+500 {
		return
	}
	e.handled[key] = true
	if e.manager.ProvablyNew(id) {
		e.dispatch(id, epoch)
		return
	}
	candidates, complete := e.manager.RecoveryCandidates(id, 1)
	waiting := len(candidates)
	if !complete {
		sim.unknownOutcomes++
		return
	}
	for _, c := range candidates {
		a := sim.agent(c.Incarnation)
		if a == nil || !c.CanAnswer {
			sim.unknownOutcomes++
			return
		}
		sim.send(e.info.Incarnation, c.Incarnation, nil, sim.delay(), func() {
			if a.dead || epoch < a.epochs[id.Shard()] && !sim.fencingOff {
				return
			}
			a.recoveredUnder[id] = max(a.recoveredUnder[id], epoch)
			started := a.ledger[id]
			sim.send(c.Incarnation, e.info.Incarnation, e, sim.delay(), func() {
				// A negative count never reaches 0 again, so a started id is not dispatched.
				if waiting--; started {
					waiting = -1
				}
				if waiting == 0 {
					e.dispatch(id, epoch)
				}
			})
		})
	}
	if waiting == 0 {
		e.dispatch(id, epoch)
	}
}

func (e *simEntry) dispatch(id gypsumtide.SubmissionID, epoch uint64) {
	sim := e.sim
	for _, c := range e.manager.Candidates(id, 1) {
		a := sim.agent(c)
		if a == nil || !e.sessions[a] || !e.manager.Usable(c, id.Shard()) || sim.chance(30) {
			continue
		}
		echo := e.clockReadings[a]
		if current, ok := e.manager.Serving(id.Shard()); !ok || current != epoch {
			return
		}
		delay := sim.delay()
		if sim.chance(10) {
			// Simulates a pause of the process between the check and the write.
			delay += sim.rng.IntN(3000)
		}
		sim.send(e.info.Incarnation, c, nil, delay, func() { a.dispatch(id, epoch, echo) })
		return
	}
}

// checkHomes records a violation if two entries could start tasks of one shard now.
func (sim *simulation) checkHomes() {
	for _, s := range simShards {
		servingEntry := ""
		for _, e := range sim.entries {
			epoch, ok := e.manager.Serving(s)
			if e.dead || !ok || !e.canStartTasks(s, epoch) {
				continue
			}
			if servingEntry != "" {
				sim.fail("shard %d has two homes that can start tasks: %s and %s", s, servingEntry, e.info.Incarnation)
			}
			servingEntry = e.info.Incarnation
		}
	}
}

// canStartTasks reports whether an agent would accept a dispatch of this entry under
// an epoch of the shard.
func (e *simEntry) canStartTasks(s gypsumtide.ShardID, epoch uint64) bool {
	for _, a := range e.sim.agents {
		if a.accepts(s, epoch, e.clockReadings[a]) && e.sim.linked(e.info.Incarnation, a.record.Incarnation) && e.manager.Usable(a.record.Incarnation, s) {
			return true
		}
	}
	return false
}

func (sim *simulation) run(d gypsumtide.Millis) {
	for end := sim.now + d; sim.now < end && sim.violation == ""; {
		sim.step()
	}
}

func (sim *simulation) restartEntry(i int) {
	sim.entries[i].dead = true
	sim.entries[i] = sim.newEntry(sim.entries[i].info.Name)
}

func (sim *simulation) restartAgent(i int) {
	old := sim.agents[i]
	old.dead = true
	sim.agents[i] = sim.newAgent(old.record.Name)
	for _, e := range sim.entries {
		if e.sessions[old] {
			delete(e.sessions, old)
			e.manager.AgentDisconnected(old.record.Incarnation)
		}
	}
}

// heal ends all faults and restarts dead entries and agents.
func (sim *simulation) heal() {
	sim.cutLinks, sim.logDown, sim.lostReplyPercent = map[string]bool{}, false, 0
	for i, e := range sim.entries {
		e.logUnreachable, e.pausedUntil = false, min(e.pausedUntil, sim.now)
		if e.dead {
			sim.restartEntry(i)
		}
	}
	for i, a := range sim.agents {
		if a.dead {
			sim.restartAgent(i)
		}
	}
}

// unservedShard returns a shard that is not served by exactly one entry, or -1.
func (sim *simulation) unservedShard() int {
	for _, s := range simShards {
		n := 0
		for _, e := range sim.entries {
			if _, ok := e.manager.Serving(s); ok && !e.dead {
				n++
			}
		}
		if n != 1 {
			return int(s)
		}
	}
	return -1
}
