package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/job"
	"gypsumtide/internal/wire"
)

// evacuate makes revision the one in use at the home, with the given zones evacuated.
func (th *testHome) evacuate(revision uint64, zones ...string) {
	th.setEvacuations(gypsumtide.Evacuations{Version: revision, Zones: zones})
}

// endSettleTime moves the clock beyond the time in which agents dial an entry that has
// started.
func (th *testHome) endSettleTime() { th.clock.offset.Add(int64(agentsSettleTime)) }

// Guards against jobs that are refused although another zone can serve them, jobs that wait
// for their deadline although none can, and running tasks that are stopped.
func TestEvacuation(t *testing.T) {
	runCases(t, []homeCase{
		{"a task goes to another zone", func(th *testHome) wire.Answer {
			b, a := th.addAgentIn("zone-2", "b1", 1), th.addAgent("a1", 4)
			th.evacuate(1, "zone-1")
			ch := th.submit(th.newJob(1), 5_000)
			b.reportDone(b.awaitDispatch(1), "x")
			So(a.dispatchCount(), ShouldEqual, 0)
			return th.awaitAnswer(ch)
		}, complete, "", false},
		{"a task that waits in the zone is recalled and moves", func(th *testHome) wire.Answer {
			a := th.addAgent("a1", 1)
			ch := th.submit(th.newJob(1), 5_000)
			ref := a.awaitDispatch(1)
			b := th.addAgentIn("zone-2", "b1", 1)
			th.evacuate(1, "zone-1")
			eventually(th.t, "a recall", func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return len(a.recalls) == 1 && a.recalls[0] == ref
			})
			a.reportNotStarted(ref, wire.ReasonRecalled)
			b.reportDone(b.awaitDispatch(1), "x")
			return th.awaitAnswer(ch)
		}, complete, "", false},
		{"a task that runs in the zone ends there", func(th *testHome) wire.Answer {
			a := th.addAgent("a1", 1)
			ch := th.submit(th.newJob(1), 5_000)
			ref := a.awaitDispatch(1)
			th.evacuate(1, "zone-1")
			a.report(wire.Result{TaskRef: ref, State: wire.TaskRunning})
			th.endSettleTime()
			a.reportDone(ref, "x")
			return th.awaitAnswer(ch)
		}, complete, "", false},
		{"no other zone, at admission", func(th *testHome) wire.Answer {
			th.addAgent("a1", 1)
			th.evacuate(1, "zone-1")
			th.endSettleTime()
			a := th.awaitAnswer(th.submit(th.newJob(1), 60_000))
			So(a.Problem.Step, ShouldEqual, "admit")
			So(a.Problem.RetryAfter, ShouldBeBetweenOrEqual, evacuationRetryAfter, 2*evacuationRetryAfter)
			return a
		}, notRun, "zone-evacuated", false},
		{"no other zone, while the job waits", func(th *testHome) wire.Answer {
			th.addAgent("a1", 0)
			ch := th.submit(th.newJob(1), 60_000)
			th.evacuate(1, "zone-1")
			return th.awaitAnswer(ch)
		}, notRun, "zone-evacuated", false},
		{"no other zone, after a return", func(th *testHome) wire.Answer {
			a := th.addAgent("a1", 1)
			ch := th.submit(th.newJob(1), 60_000)
			ref := a.awaitDispatch(1)
			th.evacuate(1, "zone-1")
			a.reportNotStarted(ref, wire.ReasonZoneEvacuated)
			return th.awaitAnswer(ch)
		}, notRun, "zone-evacuated", false},
		{"a job of which a task runs waits for its end and is not called not-run", func(th *testHome) wire.Answer {
			a := th.addAgent("a1", 2)
			ch := th.submit(th.newJob(2), 60_000)
			ran, returned := a.awaitDispatch(1), a.awaitDispatch(2)
			th.evacuate(1, "zone-1")
			a.reportNotStarted(returned, wire.ReasonZoneEvacuated)
			time.Sleep((4 * unservableInterval).Duration())
			a.mu.Lock()
			cancels := len(a.cancels)
			a.mu.Unlock()
			So(cancels, ShouldEqual, 0)
			a.reportDone(ran, "x")
			return th.awaitAnswer(ch)
		}, failed, "zone-evacuated", false},
		{"a full agent in another zone", func(th *testHome) wire.Answer {
			b := th.addAgentIn("zone-2", "b1", 0)
			th.addAgent("a1", 1)
			th.evacuate(1, "zone-1")
			th.endSettleTime()
			ch := th.submit(th.newJob(1), 60_000)
			th.clock.offset.Add(int64(2 * unservableInterval))
			b.announce(1)
			b.reportDone(b.awaitDispatch(1), "x")
			return th.awaitAnswer(ch)
		}, complete, "", false},
		{"an agent in another zone that has not dialled the entry yet", func(th *testHome) wire.Answer {
			th.addAgent("a1", 1)
			th.shardManager.update(func(m *fakeShardManager) { m.agents = append(m.agents, "b1") })
			th.evacuate(1, "zone-1")
			ch := th.submit(th.newJob(1), 5_000)
			th.shardManager.update(func(m *fakeShardManager) { m.agents = m.agents[:1] })
			b := th.addAgentIn("zone-2", "b1", 1)
			b.reportDone(b.awaitDispatch(1), "x")
			return th.awaitAnswer(ch)
		}, complete, "", false},
		{"the evacuation ends while the job waits", func(th *testHome) wire.Answer {
			a := th.addAgent("a1", 1)
			th.addAgentIn("zone-2", "b1", 0)
			th.evacuate(1, "zone-1")
			ch := th.submit(th.newJob(1), 5_000)
			So(a.dispatchCount(), ShouldEqual, 0)
			th.evacuate(2)
			a.reportDone(a.awaitDispatch(1), "x")
			return th.awaitAnswer(ch)
		}, complete, "", false},
	})
}

// Guards against a home that sends tasks to an agent that knows of an evacuation before the
// home does, and against one that still obeys the agent's report when it knows more.
func TestEvacuatedAgent(t *testing.T) {
	for _, c := range []struct {
		name      string
		set       gypsumtide.Evacuations
		reports   bool
		revision  uint64
		evacuated bool
	}{
		{"neither", gypsumtide.Evacuations{Version: 4}, false, 4, false},
		{"both", gypsumtide.Evacuations{Version: 4, Zones: []string{"z1"}}, true, 4, true},
		{"another zone", gypsumtide.Evacuations{Version: 4, Zones: []string{"z2"}}, false, 4, false},
		{"the agent has not read it yet", gypsumtide.Evacuations{Version: 4, Zones: []string{"z1"}}, false, 3, true},
		{"the home has not read it yet", gypsumtide.Evacuations{Version: 4}, true, 5, true},
		{"the agent has not read the end yet", gypsumtide.Evacuations{Version: 4}, true, 3, false},
		{"the home has not read the end yet", gypsumtide.Evacuations{Version: 4, Zones: []string{"z1"}}, false, 5, true},
	} {
		Convey(c.name, t, func() {
			h, _, _, _ := newEligibleHome(t, 0, 1)
			h.setEvacuations(c.set)
			conn := h.agentConnected(wire.AgentRecord{Name: "a", Incarnation: "a1", Zone: "z1"}, &wire.Session{}, 0, 0)
			h.handleAgentFrame(conn, conn.session, &wire.Frame{Revision: c.revision, Announcement: &wire.Announcement{
				ZoneEvacuated: c.reports, Upstreams: []wire.Upstream{{Name: "u", Services: []string{"echo"}, Slots: 8}},
			}})
			p, err := h.pool("default")
			So(err, ShouldBeNil)
			want := 1
			if c.evacuated {
				want = 0
			}
			So(p.serviceAgents(h, "echo").conns, ShouldHaveLength, want)
			So(h.evacuatedAgents, ShouldEqual, 1-want)
			h.declareAgentLost(conn, "test")
			So(h.evacuatedAgents, ShouldEqual, 0)
		})
	}
}

// Guards against a refusal because of agents that do not serve the job anyway, and against
// a wait for agents that will not serve it.
func TestOnlyInEvacuatedZones(t *testing.T) {
	large := gypsumtide.Size{Processors: 4000}
	serves := func(size gypsumtide.Size, services ...string) *wire.Announcement {
		return &wire.Announcement{Upstreams: []wire.Upstream{{Name: "u", Services: services, Slots: 1, Capacity: size}}}
	}
	draining := serves(large, "s")
	draining.Draining = true
	for _, c := range []struct {
		name string
		// other is the announcement of the agent in the other zone, or nil before the first.
		other *wire.Announcement
		want  bool
	}{
		{"serves it", serves(large, "s"), false},
		{"has not announced its upstreams", nil, false},
		{"serves another service", serves(large, "t"), true},
		{"too small", serves(gypsumtide.Size{Processors: 1000}, "s"), true},
		{"drains", draining, true},
	} {
		Convey("The agent in the other zone: "+c.name, t, func() {
			h, _, p, _ := newEligibleHome(t, 0, 1)
			a := h.agentConnected(wire.AgentRecord{Name: "a", Incarnation: "a1", Zone: "z1"}, &wire.Session{}, 0, 0)
			b := h.agentConnected(wire.AgentRecord{Name: "b", Incarnation: "b1", Zone: "z2"}, &wire.Session{}, 0, 0)
			h.applyAnnouncement(a, serves(large, "s"))
			if c.other != nil {
				h.applyAnnouncement(b, c.other)
			}
			task := job.New(&wire.Job{Service: "s", Tasks: []wire.JobTask{{Size: large}}}, 1, 1, 10_000).Tasks()[0]
			So(h.onlyInEvacuatedZones(p, task), ShouldBeFalse)
			h.setEvacuations(gypsumtide.Evacuations{Version: 1, Zones: []string{"z1"}})
			So(h.onlyInEvacuatedZones(p, task), ShouldEqual, c.want)
		})
	}
}

// Guards against an agent that receives a task on a new session before the configuration that
// was published meanwhile, and would start it in an evacuated zone.
func TestConfigurationPrecedesDispatches(t *testing.T) {
	Convey("An agent that reconnects gets the configuration first", t, func() {
		th := newTestHome(t)
		a := th.addAgent("a1", 1)
		a.disconnect()
		th.sendConfigs(&configMessages{revision: 4, full: &wire.Config{Revision: 4}})
		ch := th.submit(th.newJob(1), 5_000)
		a.connect()
		a.reportDone(a.awaitDispatch(1), "x")
		So(th.awaitAnswer(ch).Outcome, ShouldEqual, complete)
		So(a.unconfigured, ShouldEqual, 0)
		So(a.config, ShouldNotBeNil)
	})
}

// Guards against homes that send all their waiting tasks to a returned zone at once, against
// a zone that stays limited, and against limits that delay or refuse work for nothing.
func TestSlowStart(t *testing.T) {
	Convey("Given 12 agents of 8 slots in 6 zones, one of which returns", t, func() {
		h, _, p, _ := newEligibleHome(t, 12, 1)
		h.setEvacuations(gypsumtide.Evacuations{Version: 1, Zones: []string{"zone-0"}})
		So(p.serviceAgents(h, "echo").views, ShouldHaveLength, 10)
		h.setEvacuations(gypsumtide.Evacuations{Version: 2})
		begin := h.slowStarts["zone-0"]
		slots := func() int {
			n := 0
			for _, v := range p.serviceAgents(h, "echo").views {
				n += v.Slots()
			}
			return n
		}
		Convey("its share grows, and admission counts all its slots", func() {
			for _, c := range []struct{ elapsed, slots int }{{0, 2}, {500, 5}, {999, 7}, {1000, 8}} {
				h.updateSlowStarts(begin + gypsumtide.Millis(c.elapsed))
				So(slots(), ShouldEqual, 10*8+2*c.slots)
				So(p.slots, ShouldEqual, 12*8)
				So(p.freeSlots("echo"), ShouldEqual, 12*8)
			}
			So(h.slowStarts, ShouldBeEmpty)
		})
		Convey("an announcement does not end it", func() {
			h.updateSlowStarts(begin)
			c := h.agents["agent-0#1"]
			h.applyAnnouncement(c, &wire.Announcement{Upstreams: c.upstreams})
			So(c.view.Slots(), ShouldBeLessThan, 8)
		})
		Convey("its agents are used fully if no other zone has the service", func() {
			for _, c := range h.agents {
				if c.record.Zone != "zone-0" {
					h.applyAnnouncement(c, &wire.Announcement{Draining: true})
				}
			}
			h.updateSlowStarts(begin)
			So(slots(), ShouldEqual, 2*8)
		})
		Convey("another evacuation ends it", func() {
			h.setEvacuations(gypsumtide.Evacuations{Version: 3, Zones: []string{"zone-0"}})
			So(h.slowStarts, ShouldBeEmpty)
		})
	})
}

// Guards against a returned zone that stays limited, or is not limited at once.
func TestSlowStartEnds(t *testing.T) {
	Convey("Given a zone whose evacuation has ended", t, func() {
		th := newTestHome(t)
		th.addAgent("a1", 8)
		th.addAgentIn("zone-2", "b1", 8)
		th.evacuate(1, "zone-1")
		th.evacuate(2)
		th.mu.Lock()
		slots := th.agents["a1"].view.Slots()
		th.mu.Unlock()
		So(slots, ShouldBeLessThan, 8)
		th.waitUntil("all slots", func() bool { return th.agents["a1"].view.Slots() == 8 })
	})
}

// Guards against returned tasks that wait for the retry budget, which an evacuation with its
// many returns would use up.
func TestEvacuationNeedsNoRetryBudget(t *testing.T) {
	for zones, want := range map[string]gypsumtide.Millis{"zone-0": requeueDelay, "zone-1": requeueBackoff} {
		Convey("A task is returned by an agent of zone-0, evacuated is "+zones, t, func() {
			h, _, p, aj := newEligibleHome(t, 1, 1)
			h.decisions = newDecisionLog(h.log, 0)
			conn := h.agents["agent-0#1"]
			h.setEvacuations(gypsumtide.Evacuations{Version: 1, Zones: []string{zones}})
			for p.retries.Take(h.clock.Now()) {
			}
			aj.Dispatch(0)
			before := h.clock.Now()
			h.taskNotStarted(conn, aj, &wire.Result{State: wire.TaskNotStarted, Reason: wire.ReasonRecalled})
			So(h.pendingRequeues[0].at, ShouldBeBetweenOrEqual, before+want, before+want+50)
		})
	}
}
