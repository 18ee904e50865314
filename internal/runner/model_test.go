package runner

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumtide"
)

// modelWorker is a worker whose answers may be lost, and which may execute orders
// late or never.
type modelWorker struct {
	incarnation gypsumtide.Incarnation
	fence       uint64
	running     map[gypsumtide.RunRef]bool
	ended       []gypsumtide.RunEnd
	finished    map[gypsumtide.RunRef]bool
	// late holds the orders that the worker executes late.
	late []StartCall
}

func (w *modelWorker) restart(startTime gypsumtide.Millis) {
	w.incarnation.StartTime = startTime
	w.fence = 0
	w.running = make(map[gypsumtide.RunRef]bool)
	w.finished = make(map[gypsumtide.RunRef]bool)
	w.ended = nil
}

func (w *modelWorker) start(c StartCall) error {
	o := c.Order
	switch {
	case o.Fence < w.fence:
		return gypsumtide.ErrFenced
	case w.running[o.Ref]:
		return nil
	case w.finished[o.Ref]:
		return gypsumtide.ErrStaleRun
	}
	w.fence = o.Fence
	w.running[o.Ref] = true
	return nil
}

func (w *modelWorker) end(ref gypsumtide.RunRef, kind gypsumtide.EndKind) {
	if !w.running[ref] {
		return
	}
	delete(w.running, ref)
	w.finished[ref] = true
	w.ended = append(w.ended, gypsumtide.RunEnd{Number: uint64(len(w.ended) + 1), Ref: ref, Kind: kind})
}

func (w *modelWorker) stop(c StopCall) {
	if c.Fence < w.fence {
		return
	}
	w.end(c.Ref, gypsumtide.EndStopped)
	w.finished[c.Ref] = true
}

func (w *modelWorker) renew(r gypsumtide.RenewRequest) (gypsumtide.RenewResponse, error) {
	if r.Fence < w.fence {
		return gypsumtide.RenewResponse{}, gypsumtide.ErrFenced
	}
	w.fence = r.Fence
	a := gypsumtide.RenewResponse{StartTime: w.incarnation.StartTime, Clock: 1}
	for ref := range w.running {
		a.Running = append(a.Running, gypsumtide.RunProgress{Ref: ref})
	}
	for _, e := range w.ended {
		if e.Number > r.Acknowledged {
			a.Ended = append(a.Ended, e)
		}
	}
	return a, nil
}

// model drives a State against a modelWorker with random steps.
type model struct {
	t      *rapid.T
	state  *State
	worker *modelWorker
	now    gypsumtide.Millis
	starts []StartCall
	stops  []StopCall
	sync   *RenewCall
	// lastOrder is the index of the last submitted order.
	lastOrder int
	// notStarted holds the runs that were reported as not started.
	notStarted map[gypsumtide.RunRef]bool
	// sizes holds the processors of each run, in thousandths of a core.
	sizes map[gypsumtide.RunRef]int64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, worker: &modelWorker{incarnation: testIncarnation}, now: 1, notStarted: make(map[gypsumtide.RunRef]bool), sizes: make(map[gypsumtide.RunRef]int64)}
	m.worker.restart(testIncarnation.StartTime)
	m.state = NewState(testTiming, 10, discardLogger{})
	m.state.SessionOpened("entry")
	m.state.SessionResumed(0, "entry")
	m.state.Heartbeat(m.now, testInfo(testIncarnation))
	m.collect()
	return m
}

func (m *model) collect() {
	e := m.state.TakeEffects()
	m.starts = append(m.starts, e.Starts...)
	m.stops = append(m.stops, e.Stops...)
	if e.Sync != nil {
		m.sync = e.Sync
	}
	for _, r := range e.Reports["entry"] {
		if r.End == gypsumtide.EndNotStarted {
			m.notStarted[r.Ref] = true
		}
	}
}

func (m *model) submit() {
	m.lastOrder++
	o := testOrder(m.lastOrder)
	o.Incarnation = m.state.Incarnation()
	o.Size.Processors = rapid.Int64Range(500, 2500).Draw(m.t, "processors")
	m.sizes[o.Ref] = o.Size.Processors
	m.state.Submit(m.now, "entry", o, m.now)
}

// execute starts an order on the worker and checks the invariants.
func (m *model) execute(c StartCall) error {
	current := m.worker.incarnation
	err := m.worker.start(c)
	if err != nil {
		return err
	}
	if m.notStarted[c.Order.Ref] && c.Incarnation == current {
		m.t.Fatalf("%s was reported as not started but is running", c.Order.Ref)
	}
	if c.Incarnation == m.worker.incarnation && c.Order.Fence == m.state.fence {
		m.checkCapacity()
	}
	return nil
}

// checkCapacity counts every run on the worker, including those that are unknown
// to the agent.
func (m *model) checkCapacity() {
	var used int64
	for ref := range m.worker.running {
		used += m.sizes[ref]
	}
	if used > testInfo(testIncarnation).Capacity.Processors {
		m.t.Fatalf("%d of %d processors are in use", used, testInfo(testIncarnation).Capacity.Processors)
	}
}

func (m *model) deliverStart() {
	if len(m.starts) == 0 {
		return
	}
	c := m.starts[0]
	m.starts = m.starts[1:]
	switch rapid.SampledFrom([]string{"answered", "answered", "lost-answer", "late", "never"}).Draw(m.t, "start") {
	case "answered":
		m.state.StartAnswered(m.now, c, 1, m.execute(c))
	case "lost-answer":
		_ = m.execute(c)
		m.state.StartAnswered(m.now, c, 0, errTimeout)
	case "late":
		m.worker.late = append(m.worker.late, c)
		m.state.StartAnswered(m.now, c, 0, errTimeout)
	case "never":
		m.state.StartAnswered(m.now, c, 0, errTimeout)
	}
}

func (m *model) deliverLate() {
	if len(m.worker.late) > 0 {
		c := m.worker.late[0]
		m.worker.late = m.worker.late[1:]
		_ = m.execute(c)
	}
}

func (m *model) deliverStops() {
	for _, c := range m.stops {
		if rapid.Bool().Draw(m.t, "stop arrives") {
			m.worker.stop(c)
		}
	}
	m.stops = nil
}

func (m *model) deliverSync(reliable bool) {
	if m.sync == nil {
		return
	}
	c := *m.sync
	m.sync = nil
	a, err := m.worker.renew(c.Request)
	if !reliable && rapid.IntRange(0, 3).Draw(m.t, "sync") == 0 {
		a, err = gypsumtide.RenewResponse{}, errTimeout
	}
	m.state.SyncAnswered(m.now, c, a, err)
}

func (m *model) renew(reliable bool) {
	c, ok := m.state.NextRenewal(m.now, 60)
	if !ok {
		return
	}
	a, err := m.worker.renew(c.Request)
	if !reliable && rapid.IntRange(0, 3).Draw(m.t, "renew") == 0 {
		a, err = gypsumtide.RenewResponse{}, errTimeout
	}
	m.state.RenewAnswered(m.now, m.now, c, a, err)
}

func (m *model) endOne() {
	for ref := range m.worker.running {
		m.worker.end(ref, gypsumtide.EndDone)
		return
	}
}

func (m *model) step() {
	m.now += gypsumtide.Millis(rapid.IntRange(1, 40).Draw(m.t, "pause"))
	switch rapid.SampledFrom([]string{"submit", "submit", "start", "start", "start", "late", "stops", "sync", "sync", "renew", "end", "tick", "recall", "stop", "restart"}).Draw(m.t, "step") {
	case "submit":
		m.submit()
	case "start":
		m.deliverStart()
	case "late":
		m.deliverLate()
	case "stops":
		m.deliverStops()
	case "sync":
		m.deliverSync(false)
	case "renew":
		m.renew(false)
	case "end":
		m.endOne()
	case "tick":
		m.state.Tick(m.now)
	case "recall":
		m.state.Recall(testOrder(m.lastOrder).Ref)
	case "stop":
		m.state.StopRun(m.now, testOrder(rapid.IntRange(1, max(1, m.lastOrder)).Draw(m.t, "task")).Ref)
	case "restart":
		if rapid.IntRange(0, 5).Draw(m.t, "restart") == 0 {
			m.worker.restart(m.worker.incarnation.StartTime + 1000)
		}
	}
	m.collect()
}

// finish ends every run and answers all start, sync and renew calls.
func (m *model) finish() {
	for range 200 {
		m.now += 30
		info := testInfo(m.worker.incarnation)
		info.Seq = uint64(m.now)
		m.state.Heartbeat(m.now, info)
		for len(m.starts) > 0 {
			c := m.starts[0]
			m.starts = m.starts[1:]
			m.state.StartAnswered(m.now, c, 1, m.execute(c))
		}
		m.deliverStops()
		m.deliverSync(true)
		for ref := range m.worker.running {
			m.worker.end(ref, gypsumtide.EndDone)
		}
		m.renew(true)
		m.state.Tick(m.now)
		m.collect()
	}
}

// Guards against starts beyond the capacity, starts of runs that were reported as
// not started, and reservations that are never released, under lost, late and repeated
// answers, worker restarts, recalls and stops.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.step()
		}
		m.finish()
		if m.state.Running() != 0 || m.state.Waiting() != 0 {
			t.Fatalf("%d reservations and %d orders are left: %v", m.state.Running(), m.state.Waiting(), m.state.runs)
		}
	})
}
