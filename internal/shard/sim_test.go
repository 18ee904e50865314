package shard

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// simStep is the resolution of the simulation.
const simStep = 10

// simShards are the shards that the simulated callers use.
var simShards = []gypsumtide.ShardID{0, 1, 2, 3, 4, 5}

// simClock is a manual clock; all clocks of a world advance together.
type simClock struct {
	w          *world
	mono, wall gypsumtide.Millis
}

func (c *simClock) Now() gypsumtide.Millis  { return c.w.now + c.mono }
func (c *simClock) Wall() gypsumtide.Millis { return 1_700_000_000_000 + c.w.now + c.wall }

// message is delivered at a time if the link is up when it is sent.
type message struct {
	at  gypsumtide.Millis
	to  *simEntry
	run func()
}

// simEntry drives a Manager and plays the home of one-task submissions.
type simEntry struct {
	w        *world
	clock    *simClock
	info     wire.EntryInfo
	state    *State
	m        *Manager
	dead     bool
	paused   gypsumtide.Millis
	noLog    bool
	reading  bool
	credit   map[*simAgent]gypsumtide.Millis
	sessions map[*simAgent]bool
	known    map[string]bool
}

// simAgent enforces credit, fencing and the ledger.
type simAgent struct {
	w      *world
	clock  *simClock
	record wire.AgentRecord
	dead   bool
	epochs map[gypsumtide.ShardID]uint64
	fenced map[gypsumtide.SubmissionID]uint64
	ledger map[gypsumtide.SubmissionID]bool
	queued map[gypsumtide.SubmissionID]uint64
}

type world struct {
	r         *rand.Rand
	now       gypsumtide.Millis
	log       [][]byte
	logDown   bool
	loseRate  int
	messages  []message
	entries   []*simEntry
	agents    []*simAgent
	cut       map[string]bool
	ids       []gypsumtide.SubmissionID
	starts    map[gypsumtide.SubmissionID]int
	counter   int
	noFencing bool
	mutation  mutation
	violation string
	started   int
	unknown   int
}

func newWorld(seed uint64) *world {
	return &world{r: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}, starts: map[gypsumtide.SubmissionID]int{}}
}

func (w *world) chance(percent int) bool { return w.r.IntN(100) < percent }

func (w *world) newClock() *simClock {
	return &simClock{w: w, mono: gypsumtide.Millis(w.r.IntN(100_000) + 1), wall: gypsumtide.Millis(w.r.IntN(481) - 240)}
}

func (w *world) addEntry(name string) *simEntry {
	w.entries = append(w.entries, w.newEntry(name))
	return w.entries[len(w.entries)-1]
}

func (w *world) newEntry(name string) *simEntry {
	w.counter++
	e := &simEntry{w: w, clock: w.newClock(), state: NewState(), credit: map[*simAgent]gypsumtide.Millis{}, sessions: map[*simAgent]bool{}, known: map[string]bool{}}
	e.info = wire.EntryInfo{Name: name, Incarnation: fmt.Sprintf("%s#%06d", name, w.counter)}
	e.m = New(DefaultConfig(e.info), e.state, e.clock)
	e.m.mutation = w.mutation
	return e
}

func (w *world) addAgent(name string) *simAgent {
	w.agents = append(w.agents, w.newAgent(name))
	return w.agents[len(w.agents)-1]
}

func (w *world) newAgent(name string) *simAgent {
	w.counter++
	a := &simAgent{w: w, clock: w.newClock(), epochs: map[gypsumtide.ShardID]uint64{}, fenced: map[gypsumtide.SubmissionID]uint64{}}
	a.ledger, a.queued = map[gypsumtide.SubmissionID]bool{}, map[gypsumtide.SubmissionID]uint64{}
	a.record = wire.AgentRecord{Name: name, Incarnation: fmt.Sprintf("%s#%06d", name, w.counter), Zone: "z" + name[len(name)-1:]}
	return a
}

func link(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (w *world) linked(a, b string) bool { return !w.cut[link(a, b)] }

func (w *world) send(from, to string, target *simEntry, delay int, run func()) {
	if w.linked(from, to) {
		w.messages = append(w.messages, message{at: w.now + gypsumtide.Millis(delay), to: target, run: run})
	}
}

func (w *world) delay() int { return simStep + w.r.IntN(3)*simStep }

// step advances time by simStep.
func (w *world) step() {
	w.now += simStep
	w.deliver()
	for _, e := range w.entries {
		if !e.dead && w.now >= e.paused {
			e.run()
		}
	}
	for _, a := range w.agents {
		if !a.dead {
			a.run()
		}
	}
	if w.now%100 == 0 {
		w.submit()
		w.checkHomes()
	}
}

func (w *world) deliver() {
	due := w.messages
	w.messages = nil
	for _, msg := range due {
		switch {
		case msg.to != nil && msg.to.dead:
		case msg.at > w.now || msg.to != nil && msg.to.paused > w.now:
			w.messages = append(w.messages, msg)
		default:
			msg.run()
		}
	}
}

func (e *simEntry) run() {
	w := e.w
	phase := w.now + gypsumtide.Millis(e.clock.mono%20)*simStep
	if phase%50 == 0 {
		e.readLog()
		for _, a := range e.m.Tick() {
			e.execute(a)
		}
	}
	if phase%200 == 0 {
		hb := e.m.Heartbeat()
		for _, p := range w.entries {
			if p != e && !p.dead {
				e.heartbeat(p, hb)
			}
		}
	}
}

func (e *simEntry) heartbeat(p *simEntry, hb wire.Heartbeat) {
	w, from, to := e.w, e.info.Incarnation, p.info.Incarnation
	w.send(from, to, p, w.delay(), func() {
		ack := p.m.HandleHeartbeat(from, &hb)
		w.send(to, from, e, w.delay(), func() { e.m.HandleAck(to, &ack) })
	})
}

// readLog sends a read whose answer arrives later, perhaps after a pause.
func (e *simEntry) readLog() {
	w := e.w
	if e.reading || e.noLog || w.logDown {
		return
	}
	e.reading = true
	sent := e.clock.Now()
	end := len(w.log)
	w.messages = append(w.messages, message{at: w.now + gypsumtide.Millis(w.delay()), to: e, run: func() {
		e.reading = false
		for i := int(e.state.Next()); i < end; i++ {
			e.state.Apply(uint64(i), w.log[i])
		}
		e.m.LogRead(sent)
	}})
}

var errRefused = errors.New("connection refused")

func (e *simEntry) execute(a Action) {
	w := e.w
	switch a.Kind {
	case ActionAppend:
		e.append(a)
	case ActionSendFenceRequests:
		if ag := w.agent(a.Peer); ag != nil {
			w.send(e.info.Incarnation, a.Peer, nil, w.delay(), func() { ag.promise(e, a.FenceRequests) })
		}
	case ActionSendRosterUpdates:
		for _, p := range w.entries {
			if p.info.Incarnation == a.Peer {
				w.send(e.info.Incarnation, a.Peer, p, w.delay(), func() {
					acks := p.m.HandleRosterUpdates(e.info.Incarnation, a.RosterUpdates)
					w.send(a.Peer, e.info.Incarnation, e, w.delay(), func() { e.m.HandleRosterAcks(a.Peer, acks) })
				})
			}
		}
	}
}

func (e *simEntry) append(a Action) {
	w := e.w
	reply := func(offset uint64, err error) {
		w.messages = append(w.messages, message{at: w.now + gypsumtide.Millis(w.delay()), to: e, run: func() { e.m.HandleAppendResult(a.ID, offset, err) }})
	}
	if e.noLog || w.logDown {
		reply(0, errRefused)
		return
	}
	if !w.chance(w.loseRate) {
		w.log = append(w.log, a.Record)
		reply(uint64(len(w.log)-1), nil)
		return
	}
	// The answer is lost; the record takes effect now, later or never.
	if w.chance(70) {
		at := w.now + gypsumtide.Millis(w.r.IntN(2)*w.r.IntN(4000))
		w.messages = append(w.messages, message{at: at, run: func() { w.log = append(w.log, a.Record) }})
	}
	reply(0, fmt.Errorf("append: %w", gypsumtide.ErrAppendOutcomeUnknown))
}

func (w *world) agent(incarnation string) *simAgent {
	for _, a := range w.agents {
		if a.record.Incarnation == incarnation && !a.dead {
			return a
		}
	}
	return nil
}

func (a *simAgent) run() {
	w := a.w
	for id, epoch := range a.queued {
		if epoch < a.fenced[id] && !w.noFencing {
			delete(a.queued, id)
		}
	}
	for _, id := range w.ids {
		if _, ok := a.queued[id]; ok && w.chance(8) {
			delete(a.queued, id)
			if !a.ledger[id] {
				a.ledger[id] = true
				w.start(id, a)
			}
		}
	}
	if (w.now+gypsumtide.Millis(a.clock.mono%20)*simStep)%100 != 0 {
		return
	}
	for _, e := range w.entries {
		if e.dead {
			continue
		}
		up := w.linked(e.info.Incarnation, a.record.Incarnation)
		if !up && e.sessions[a] {
			delete(e.sessions, a)
			e.m.AgentDown(a.record.Incarnation)
		}
		stamp := a.clock.Now()
		w.send(a.record.Incarnation, e.info.Incarnation, e, w.delay(), func() {
			e.credit[a] = max(e.credit[a], stamp)
			if !e.sessions[a] && !a.dead {
				e.sessions[a] = true
				e.m.AgentUp(a.record)
			}
		})
	}
}

func (a *simAgent) promise(e *simEntry, ps []wire.ShardEpoch) {
	if a.dead {
		return
	}
	for _, p := range ps {
		a.epochs[p.Shard] = max(a.epochs[p.Shard], p.Epoch)
		for id, epoch := range a.queued {
			if id.Shard() == p.Shard && epoch < p.Epoch && !a.w.noFencing {
				delete(a.queued, id)
			}
		}
		reply := wire.ShardEpoch{Shard: p.Shard, Epoch: a.epochs[p.Shard]}
		a.w.send(a.record.Incarnation, e.info.Incarnation, e, a.w.delay(), func() { e.m.FenceConfirmed(a.record.Incarnation, reply) })
	}
}

func (a *simAgent) accepts(shard gypsumtide.ShardID, epoch uint64, echo gypsumtide.Millis) bool {
	return !a.dead && (a.w.noFencing || epoch >= a.epochs[shard] && a.clock.Now()-echo <= 1000)
}

func (a *simAgent) dispatch(id gypsumtide.SubmissionID, epoch uint64, echo gypsumtide.Millis) {
	if !a.accepts(id.Shard(), epoch, echo) || a.ledger[id] || epoch < a.fenced[id] && !a.w.noFencing {
		return
	}
	a.epochs[id.Shard()] = max(a.epochs[id.Shard()], epoch)
	a.queued[id] = epoch
}

func (w *world) start(id gypsumtide.SubmissionID, a *simAgent) {
	w.started++
	w.starts[id]++
	if w.starts[id] > 1 {
		w.fail("%s started twice, again at %s, shard %d", id, a.record.Incarnation, id.Shard())
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %d ms: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// submit sends new and repeated ids to entries.
func (w *world) submit() {
	var id gypsumtide.SubmissionID
	for {
		stamp := uint64(1_700_000_000_000+w.now) + uint64(w.r.IntN(500)) - 250
		for i := range id {
			id[i] = byte(w.r.IntN(256))
		}
		for i := range 6 {
			id[i] = byte(stamp >> (8 * (5 - i)))
		}
		if int(id.Shard()) < len(simShards) {
			break
		}
	}
	w.ids = append(w.ids, id)
	recent := w.ids[max(0, len(w.ids)-80):]
	for range 6 {
		for _, e := range w.entries {
			e.submission(recent[w.r.IntN(len(recent))])
		}
	}
}

// submission plays the home: dispatch if fresh, recover if in doubt.
func (e *simEntry) submission(id gypsumtide.SubmissionID) {
	w := e.w
	if e.dead || w.now < e.paused {
		return
	}
	epoch, ok := e.m.Serving(id.Shard())
	key := fmt.Sprint(id, epoch)
	if !ok || e.known[key] || id.Stamp() > e.clock.Wall()+500 {
		return
	}
	e.known[key] = true
	if e.m.Fresh(id) {
		e.dispatch(id, epoch)
		return
	}
	candidates, complete := e.m.RecoveryCandidates(id, 1)
	waiting := len(candidates)
	if !complete {
		w.unknown++
		return
	}
	for _, c := range candidates {
		a := w.agent(c.Incarnation)
		if a == nil || !c.CanAnswer {
			w.unknown++
			return
		}
		w.send(e.info.Incarnation, c.Incarnation, nil, w.delay(), func() {
			if a.dead || epoch < a.epochs[id.Shard()] && !w.noFencing {
				return
			}
			a.fenced[id] = max(a.fenced[id], epoch)
			started := a.ledger[id]
			w.send(c.Incarnation, e.info.Incarnation, e, w.delay(), func() {
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
	w := e.w
	for _, c := range e.m.Candidates(id, 1) {
		a := w.agent(c)
		if a == nil || !e.sessions[a] || !e.m.Usable(c, id.Shard()) || w.chance(30) {
			continue
		}
		echo := e.credit[a]
		if now, ok := e.m.Serving(id.Shard()); !ok || now != epoch {
			return
		}
		delay := w.delay()
		if w.chance(10) {
			// The process pauses between the check and the write.
			delay += w.r.IntN(3000)
		}
		w.send(e.info.Incarnation, c, nil, delay, func() { a.dispatch(id, epoch, echo) })
		return
	}
}

// checkHomes reports a shard for which two entries could start tasks now.
func (w *world) checkHomes() {
	for _, s := range simShards {
		able := ""
		for _, e := range w.entries {
			epoch, ok := e.m.Serving(s)
			if e.dead || !ok || !e.able(s, epoch) {
				continue
			}
			if able != "" {
				w.fail("shard %d has two homes that can start tasks: %s and %s", s, able, e.info.Incarnation)
			}
			able = e.info.Incarnation
		}
	}
}

func (e *simEntry) able(s gypsumtide.ShardID, epoch uint64) bool {
	for _, a := range e.w.agents {
		if a.accepts(s, epoch, e.credit[a]) && e.w.linked(e.info.Incarnation, a.record.Incarnation) && e.m.Usable(a.record.Incarnation, s) {
			return true
		}
	}
	return false
}

func (w *world) run(d gypsumtide.Millis) {
	for end := w.now + d; w.now < end && w.violation == ""; {
		w.step()
	}
}

func (w *world) restartEntry(i int) {
	w.entries[i].dead = true
	w.entries[i] = w.newEntry(w.entries[i].info.Name)
}

func (w *world) restartAgent(i int) {
	old := w.agents[i]
	old.dead = true
	w.agents[i] = w.newAgent(old.record.Name)
	for _, e := range w.entries {
		if e.sessions[old] {
			delete(e.sessions, old)
			e.m.AgentDown(old.record.Incarnation)
		}
	}
}

// heal ends all faults and restarts what is dead.
func (w *world) heal() {
	w.cut, w.logDown, w.loseRate = map[string]bool{}, false, 0
	for i, e := range w.entries {
		e.noLog, e.paused = false, min(e.paused, w.now)
		if e.dead {
			w.restartEntry(i)
		}
	}
	for i, a := range w.agents {
		if a.dead {
			w.restartAgent(i)
		}
	}
}

// unserved returns a shard without exactly one serving home, or -1.
func (w *world) unserved() int {
	for _, s := range simShards {
		n := 0
		for _, e := range w.entries {
			if _, ok := e.m.Serving(s); ok && !e.dead {
				n++
			}
		}
		if n != 1 {
			return int(s)
		}
	}
	return -1
}
