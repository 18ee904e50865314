package ledger

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// init raises the defaults of rapid, which the command line still overrides.
// With 100 runs of 30 steps, rapid does not find the specific ten-step sequences
// that break a ledger which accepts delayed dispatches on older sessions.
func init() {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("ledger: %v", err))
		}
	}
}

// message is a request from a home to the agent.
type message struct {
	op  string
	ref wire.TaskRef
}

// homeSession is a session between a home and the agent. It delivers messages in
// order. Messages to the agent may arrive long after the home has opened a newer
// session.
type homeSession struct {
	number  uint64
	toAgent []message
	toHome  []wire.Result
	broken  bool
}

type taskID struct {
	submission gypsumtide.SubmissionID
	task       uint32
}

// taskView is what a home believes about a task.
type taskView uint8

const (
	viewIdle taskView = iota // never sent, or answered as not started
	viewOpen                 // sent and not settled
	viewSettled
)

// home is a home that follows the protocol, also after it has been replaced.
type home struct {
	epoch   uint64
	current *homeSession
	views   map[taskID]taskView
}

// model drives a ledger with several homes and checks its answers from their side.
type model struct {
	ledger      *Ledger
	clock       *testClock
	tasks       []taskID
	homes       []*home
	sessions    []*homeSession
	lastSession uint64
	// fencedBelow is the epoch below which no task may start any more.
	fencedBelow uint64
	// accepted lists the accepted dispatches.
	accepted []wire.TaskRef
	// running holds the running tasks. started holds the tasks that have started,
	// except for those that the upstream proved not to have started.
	running map[taskID]bool
	started map[taskID]bool
}

func newModel(clock *testClock) *model {
	m := &model{ledger: New(clock, testLimits), clock: clock, running: map[taskID]bool{}, started: map[taskID]bool{}}
	// Both ids are in one shard, so that they share its epoch.
	first := testID(testWall, 0)
	ids := []gypsumtide.SubmissionID{first}
	for n := uint32(1); len(ids) < 2; n++ {
		if id := testID(testWall, n); id.Shard() == first.Shard() {
			ids = append(ids, id)
		}
	}
	m.tasks = []taskID{{ids[0], 0}, {ids[0], 1}, {ids[1], 0}}
	m.homes = []*home{{epoch: 1, views: map[taskID]taskView{}}}
	m.openSession(m.homes[0])
	return m
}

// openSession gives the home a new session and, as the protocol requires, queries
// its open tasks.
func (m *model) openSession(h *home) {
	if h.current != nil {
		h.current.broken = true
		h.current.toHome = nil
	}
	m.lastSession++
	h.current = &homeSession{number: m.lastSession}
	m.sessions = append(m.sessions, h.current)
	for id, v := range h.views {
		if v == viewOpen {
			h.current.toAgent = append(h.current.toAgent, message{"query", wire.TaskRef{Submission: id.submission, Task: id.task, Epoch: h.epoch}})
		}
	}
}

func (m *model) drawHome(t *rapid.T) *home { return rapid.SampledFrom(m.homes).Draw(t, "home") }

func (m *model) drawTask(t *rapid.T) taskID { return rapid.SampledFrom(m.tasks).Draw(t, "task") }

// send lets a home dispatch an idle task or recall an open one.
func (m *model) send(t *rapid.T) {
	h, id := m.drawHome(t), m.drawTask(t)
	ref := wire.TaskRef{Submission: id.submission, Task: id.task, Epoch: h.epoch}
	op := "dispatch"
	switch h.views[id] {
	case viewSettled:
		return
	case viewOpen:
		op = "recall"
	default:
		h.views[id] = viewOpen
	}
	h.current.toAgent = append(h.current.toAgent, message{op, ref})
}

// deliver passes the next message of a session to the ledger.
func (m *model) deliver(t *rapid.T) {
	session := rapid.SampledFrom(m.sessions).Draw(t, "session")
	if len(session.toAgent) == 0 {
		return
	}
	msg := session.toAgent[0]
	session.toAgent = session.toAgent[1:]
	var r wire.Result
	var discarded []Answer
	switch msg.op {
	case "dispatch":
		refuse := rapid.SampledFrom([]string{"", "", wire.ReasonQueueFull}).Draw(t, "refuse")
		var accepted bool
		accepted, r, discarded = m.ledger.Accept(msg.ref, session.number, refuse)
		if accepted {
			m.accepted = append(m.accepted, msg.ref)
		}
	case "query":
		r = m.ledger.Query(msg.ref, session.number)
	case "recall":
		r = m.ledger.Withdraw(msg.ref, session.number, wire.ReasonRecalled)
	}
	m.deliverAnswer(session.number, r)
	m.deliverAnswers(discarded)
}

func (m *model) deliverAnswers(answers []Answer) {
	for _, a := range answers {
		m.deliverAnswer(a.Requester().Session(), a.Result())
	}
}

func (m *model) deliverAnswer(number uint64, r wire.Result) {
	for _, session := range m.sessions {
		if session.number == number && !session.broken && r.State != 0 {
			session.toHome = append(session.toHome, r)
		}
	}
}

// readAnswer lets a home read the next answer on its session.
func (m *model) readAnswer(t *rapid.T) {
	h := m.drawHome(t)
	session := h.current
	if len(session.toHome) == 0 {
		return
	}
	r := session.toHome[0]
	session.toHome = session.toHome[1:]
	id := taskID{r.Submission, r.Task}
	if r.Epoch != h.epoch {
		t.Fatalf("home of epoch %d reads a result of epoch %d", h.epoch, r.Epoch)
	}
	if r.State == wire.TaskNotStarted {
		// A not-started answer must be true when it is read. In addition, no
		// dispatch that the home sent before may start the task afterwards; the
		// method start checks this.
		if m.running[id] && h == m.homes[len(m.homes)-1] && m.dispatchEpoch(id) == h.epoch {
			t.Fatalf("home reads not-started for a running task %v", id)
		}
		h.views[id] = viewIdle
		return
	}
	h.views[id] = viewSettled
}

// dispatchEpoch returns the epoch of the ledger's entry for a task.
func (m *model) dispatchEpoch(id taskID) uint64 {
	e := m.ledger.find(id.submission, id.task)
	return e.epoch
}

// start lets the agent start an accepted task.
func (m *model) start(t *rapid.T) {
	if len(m.accepted) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.accepted)-1).Draw(t, "accepted")
	ref := m.accepted[i]
	if !m.ledger.Start(ref) {
		return
	}
	id := taskID{ref.Submission, ref.Task}
	if m.started[id] {
		t.Fatalf("task %v starts twice", id)
	}
	if ref.Epoch < m.fencedBelow {
		t.Fatalf("task %v starts under epoch %d after a fence for %d", id, ref.Epoch, m.fencedBelow)
	}
	for _, h := range m.homes {
		if h.epoch == ref.Epoch && h.views[id] == viewIdle {
			t.Fatalf("task %v starts after its home read a not-started answer", id)
		}
	}
	m.started[id], m.running[id] = true, true
}

// finish ends a running task. A task that the upstream did not start may be
// started again.
func (m *model) finish(t *rapid.T) {
	for _, id := range m.tasks {
		if !m.running[id] {
			continue
		}
		s := rapid.SampledFrom([]wire.TaskState{wire.TaskDone, wire.TaskUnknown, wire.TaskNotStarted}).Draw(t, "state")
		answer, err := m.ledger.Finish(wire.Result{TaskRef: wire.TaskRef{Submission: id.submission, Task: id.task}, State: s})
		if err != nil {
			t.Fatal(err)
		}
		delete(m.running, id)
		if s == wire.TaskNotStarted {
			delete(m.started, id)
		}
		m.deliverAnswers([]Answer{answer})
		return
	}
}

// drop lets the agent drop a queued task because of its deadline.
func (m *model) drop(t *rapid.T) {
	if len(m.accepted) == 0 {
		return
	}
	ref := rapid.SampledFrom(m.accepted).Draw(t, "accepted")
	if answer, ok := m.ledger.Drop(ref, wire.ReasonDeadline); ok {
		m.deliverAnswers([]Answer{answer})
	}
}

// oneInFour returns true in a quarter of the draws. It makes session breaks and
// takeovers rare, since they cut long sequences short.
func oneInFour(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 3 }

func (m *model) breakSession(t *rapid.T) {
	if oneInFour(t) {
		m.openSession(m.drawHome(t))
	}
}

// takeOver adds a home of the next epoch, which may fence the shard first and
// then recovers every submission. The old home carries on, unaware of it.
func (m *model) takeOver(t *rapid.T) {
	if len(m.homes) > 3 || !oneInFour(t) {
		return
	}
	epoch := m.homes[len(m.homes)-1].epoch + 1
	h := &home{epoch: epoch, views: map[taskID]taskView{}}
	m.openSession(h)
	shard := m.tasks[0].submission.Shard()
	if rapid.Bool().Draw(t, "fence first") {
		highest, discarded := m.ledger.Fence(shard, epoch)
		if highest != epoch {
			t.Fatalf("fence returns epoch %d, want %d", highest, epoch)
		}
		m.fencedBelow = epoch
		m.deliverAnswers(discarded)
	}
	for _, id := range m.tasks {
		reply, discarded := m.ledger.Recover(wire.RecoveryRequest{Submission: id.submission, Shard: shard, Epoch: epoch}, h.current.number)
		m.deliverAnswers(discarded)
		if reply.Fenced {
			t.Fatalf("recovery under the highest epoch is fenced")
		}
		for _, r := range reply.Tasks {
			h.views[taskID{r.Submission, r.Task}] = viewSettled
		}
	}
	m.fencedBelow = epoch
	for _, id := range m.tasks {
		if m.started[id] != (h.views[id] == viewSettled) {
			t.Fatalf("recovery of %v: listed %v, started %v", id, h.views[id] == viewSettled, m.started[id])
		}
	}
	m.homes = append(m.homes, h)
}

// Guards against a second start of a task, a start under a fenced epoch, and a
// start after the home has read a not-started answer. Messages of old sessions
// and of replaced homes arrive late.
func TestLedgerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{now: 1, wall: testWall}
		m := newModel(clock)
		// Two names for one action double its frequency.
		t.Repeat(map[string]func(*rapid.T){
			"send":     m.send,
			"send2":    m.send,
			"deliver":  m.deliver,
			"deliver2": m.deliver,
			"read":     m.readAnswer,
			"start":    m.start,
			"finish":   m.finish,
			"drop":     m.drop,
			"break":    m.breakSession,
			"takeover": m.takeOver,
		})
	})
}
