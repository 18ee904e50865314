package runner

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumtide"
)

// modelWorker is a worker whose answers may be lost, and whose orders may be
// carried out late or never.
type modelWorker struct {
	life    gypsumtide.Incarnation
	fence   uint64
	running map[gypsumtide.RunRef]bool
	ended   []gypsumtide.RunEnd
	closed  map[gypsumtide.RunRef]bool
	late    []StartCall
}

func (w *modelWorker) restart(born gypsumtide.Millis) {
	w.life.StartTime = born
	w.fence = 0
	w.running = make(map[gypsumtide.RunRef]bool)
	w.closed = make(map[gypsumtide.RunRef]bool)
	w.ended = nil
}

func (w *modelWorker) start(c StartCall) error {
	o := c.Order
	switch {
	case o.Fence < w.fence:
		return gypsumtide.ErrFenced
	case w.running[o.Ref]:
		return nil
	case w.closed[o.Ref]:
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
	w.closed[ref] = true
	w.ended = append(w.ended, gypsumtide.RunEnd{Number: uint64(len(w.ended) + 1), Ref: ref, Kind: kind})
}

func (w *modelWorker) stop(c StopCall) {
	if c.Fence < w.fence {
		return
	}
	w.end(c.Ref, gypsumtide.EndStopped)
	w.closed[c.Ref] = true
}

func (w *modelWorker) hold(r gypsumtide.RenewRequest) (gypsumtide.RenewResponse, error) {
	if r.Fence < w.fence {
		return gypsumtide.RenewResponse{}, gypsumtide.ErrFenced
	}
	w.fence = r.Fence
	a := gypsumtide.RenewResponse{StartTime: w.life.StartTime, Clock: 1}
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

// model drives a State against a modelWorker.
type model struct {
	t       *rapid.T
	state   *State
	worker  *modelWorker
	now     gypsumtide.Millis
	starts  []StartCall
	stops   []StopCall
	sync    *RenewCall
	next    int
	settled map[gypsumtide.RunRef]bool
	sizes   map[gypsumtide.RunRef]int64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, worker: &modelWorker{life: testLife}, now: 1, settled: make(map[gypsumtide.RunRef]bool), sizes: make(map[gypsumtide.RunRef]int64)}
	m.worker.restart(testLife.StartTime)
	m.state = NewState(testTiming, 10, silent{})
	m.state.SessionOpened("entry")
	m.state.SessionResumed(0, "entry")
	m.state.Heartbeat(m.now, testInfo(testLife))
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
			m.settled[r.Ref] = true
		}
	}
}

func (m *model) submit() {
	m.next++
	o := testOrder(m.next)
	o.Incarnation = m.state.Incarnation()
	o.Size.Processors = rapid.Int64Range(500, 2500).Draw(m.t, "processors")
	m.sizes[o.Ref] = o.Size.Processors
	m.state.Submit(m.now, "entry", o)
}

// execute runs an order on the worker and checks what must hold.
func (m *model) execute(c StartCall) error {
	before := m.worker.life
	err := m.worker.start(c)
	if err != nil {
		return err
	}
	if m.settled[c.Order.Ref] && c.Incarnation == before {
		m.t.Fatalf("%s was reported as not started and runs", c.Order.Ref)
	}
	if c.Incarnation == m.worker.life && c.Order.Fence == m.state.fence {
		m.checkCapacity()
	}
	return nil
}

// checkCapacity counts every run on the worker, also those that the agent does
// not know of.
func (m *model) checkCapacity() {
	var used int64
	for ref := range m.worker.running {
		used += m.sizes[ref]
	}
	if used > testInfo(testLife).Capacity.Processors {
		m.t.Fatalf("%d of %d processors are in use", used, testInfo(testLife).Capacity.Processors)
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
	a, err := m.worker.hold(c.Request)
	if !reliable && rapid.IntRange(0, 3).Draw(m.t, "sync") == 0 {
		a, err = gypsumtide.RenewResponse{}, errTimeout
	}
	m.state.SyncAnswered(m.now, c, a, err)
}

func (m *model) hold(reliable bool) {
	c, ok := m.state.NextRenewal(m.now, 60)
	if !ok {
		return
	}
	a, err := m.worker.hold(c.Request)
	if !reliable && rapid.IntRange(0, 3).Draw(m.t, "hold") == 0 {
		a, err = gypsumtide.RenewResponse{}, errTimeout
	}
	m.state.RenewAnswered(m.now, m.now, c, a, err)
}

func (m *model) endSome() {
	for ref := range m.worker.running {
		m.worker.end(ref, gypsumtide.EndDone)
		return
	}
}

func (m *model) step() {
	m.now += gypsumtide.Millis(rapid.IntRange(1, 40).Draw(m.t, "pause"))
	switch rapid.SampledFrom([]string{"submit", "submit", "start", "start", "start", "late", "stops", "sync", "sync", "hold", "end", "tick", "recall", "stop", "restart"}).Draw(m.t, "step") {
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
	case "hold":
		m.hold(false)
	case "end":
		m.endSome()
	case "tick":
		m.state.Tick(m.now)
	case "recall":
		m.state.Recall(testOrder(m.next).Ref)
	case "stop":
		m.state.StopRun(m.now, testOrder(rapid.IntRange(1, max(1, m.next)).Draw(m.t, "task")).Ref)
	case "restart":
		if rapid.IntRange(0, 5).Draw(m.t, "restart") == 0 {
			m.worker.restart(m.worker.life.StartTime + 1000)
		}
	}
	m.collect()
}

// finish ends every run and lets all calls be answered.
func (m *model) finish() {
	for range 200 {
		m.now += 30
		info := testInfo(m.worker.life)
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
		m.hold(true)
		m.state.Tick(m.now)
		m.collect()
	}
}

// Guards, over lost, late and repeated answers, restarts of the worker, recalls
// and stops, against starts over the capacity, starts after a report that the run
// will not start, and bookings that stay behind.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.step()
		}
		m.finish()
		if m.state.Running() != 0 || m.state.Waiting() != 0 {
			t.Fatalf("%d bookings and %d orders are left: %v", m.state.Running(), m.state.Waiting(), m.state.runs)
		}
	})
}
