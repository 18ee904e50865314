package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/link"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

func evacuated(version uint64, zones ...string) gypsumtide.Evacuations {
	return gypsumtide.Evacuations{Version: version, Zones: zones}
}

// zoneReport returns the report of worker n in a zone.
func zoneReport(n int, zone string, labels ...string) wire.WorkerReport {
	return wire.WorkerReport{
		Incarnation: incarnationOf(n), Service: "stock", Zone: zone, Labels: labels,
		Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Accepting: true,
	}
}

// newZonedState returns a State with one idle worker in each of the zones, whose agents have
// been connected for long.
func newZonedState(zones ...string) *State {
	s := newTestState(len(zones))
	s.agentsSince = s.startedAt
	for i, zone := range zones {
		s.UpdateWorker(0, workerID(i), zoneReport(i, zone))
	}
	return s
}

func returned() wire.RunReport {
	return wire.RunReport{End: gypsumtide.EndNotStarted, Reason: runner.ReasonZoneEvacuated}
}

// Guards against orders to an evacuated zone, and against capacity there that makes the entry
// accept jobs or seem ready.
func TestEvacuatedZoneExcluded(t *testing.T) {
	Convey("Given workers in two zones, one of them evacuated", t, func() {
		s := newZonedState("a", "b")
		s.SetEvacuations(0, evacuated(7, "a", "unknown"))

		Convey("All tasks go to the other zone, without waiting for a tick", func() {
			s.Submit(0, submission("a", 8, 50, 0))
			orders := orderedRuns(s.TakeEffects())
			So(orders[workerID(0)], ShouldBeEmpty)
			So(orders[workerID(1)], ShouldHaveLength, 8)
		})
		Convey("The workers there are not counted, and neither are their queues", func() {
			So(s.Workers(), ShouldEqual, 1)
			So(s.WorkersByService(0)["stock"], ShouldEqual, 1)
			So(s.countFreeWorkers(), ShouldEqual, 1)
			r := loadReport(testCapacity)
			r.Waiting = []wire.WaitingLoad{{Size: wire.SizeArray{Processors: testCapacity}}}
			s.UpdateLoad(0, workerID(0), r)
			So(s.waitingShare(), ShouldEqual, 0)
		})
		Convey("A full other zone refuses although the evacuated one is idle", func() {
			r := loadReport(testCapacity)
			r.Waiting = []wire.WaitingLoad{{Size: wire.SizeArray{Processors: 8 * testCapacity}}}
			s.UpdateLoad(0, workerID(1), r)
			s.Submit(0, submission("a", 1, 50, 0))
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		})
		Convey("A worker that reports another zone is used", func() {
			s.UpdateWorker(1, workerID(0), zoneReport(0, "c"))
			So(s.Workers(), ShouldEqual, 2)
		})
		Convey("Each zone follows its own record", func() {
			s.SetEvacuations(1, evacuated(8, "a", "b"))
			So(s.Workers(), ShouldEqual, 0)
			s.SetEvacuations(2, evacuated(9, "b"))
			So(s.Workers(), ShouldEqual, 1)
			So(s.workers[workerID(0)].usable(), ShouldBeTrue)
		})
		Convey("A set with a lower version is ignored", func() {
			s.SetEvacuations(1, evacuated(6))
			So(s.Workers(), ShouldEqual, 1)
		})
		// A read of the store may have skipped a record.
		Convey("A set of the same version with other zones is a correction", func() {
			s.SetEvacuations(1, evacuated(7, "a", "b"))
			So(s.Workers(), ShouldEqual, 0)
		})
		Convey("Workers that are removed leave no trace in the count", func() {
			s.Disconnected(1, workerID(0), "test")
			s.Tick(2000)
			So(s.evacuatedWorkers, ShouldEqual, 0)
		})
	})
}

// Guards against tasks that are lost, refused or run twice because their order was on its way when
// the zone was evacuated.
func TestOrderSentBeforeEvacuation(t *testing.T) {
	Convey("Given a task ordered in a zone that is evacuated at once", t, func() {
		s := newZonedState("a", "b")
		s.UpdateLoad(0, workerID(1), loadReport(testCapacity/2))
		s.Submit(0, submission("a", 1, 50, 0))
		first := orderedRuns(s.TakeEffects())
		So(first[workerID(0)], ShouldHaveLength, 1)
		agent := newZonedAgent("a")
		So(agent.TakeEffects().Starts, ShouldBeEmpty)

		Convey("The agent returns the order and the entry places it in the other zone", func() {
			s.SetEvacuations(1, evacuated(7, "a"))
			agent.SetEvacuations(evacuated(7, "a"))
			agent.Submit(2, "entry", orderOf(first[workerID(0)][0]), 2)
			e := agent.TakeEffects()
			So(e.Starts, ShouldBeEmpty)
			So(e.Reports["entry"], ShouldHaveLength, 1)
			s.HandleReport(3, workerID(0), e.Reports["entry"][0])
			So(orderedRuns(s.TakeEffects())[workerID(1)], ShouldHaveLength, 1)
		})
		// The report of the run comes before the description of the worker.
		Convey("An entry that does not know of the evacuation yet does not send it there again", func() {
			reportAll(s, 3, first, returned())
			orders := orderedRuns(s.TakeEffects())
			So(orders[workerID(0)], ShouldBeEmpty)
			So(orders[workerID(1)], ShouldHaveLength, 1)
		})
		Convey("A started run ends there, and the entry does not stop it", func() {
			s.Tick(20)
			s.SetEvacuations(21, evacuated(7, "a"))
			s.Tick(30)
			So(s.TakeEffects().Messages, ShouldBeEmpty)
			reportAll(s, 60, first, wire.RunReport{End: gypsumtide.EndDone, RunTime: 50})
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
		})
	})

	Convey("A waiting job is not refused, although late, while another zone has room", t, func() {
		s := newZonedState("a", "b")
		s.UpdateLoad(0, workerID(1), loadReport(testCapacity/2))
		s.Submit(0, submission("a", 1, 50, 0))
		first := orderedRuns(s.TakeEffects())
		reportAll(s, 1, first, wire.RunReport{Queued: true})
		s.SetEvacuations(80, evacuated(7, "a"))
		reportAll(s, 100, first, returned())
		e := s.TakeEffects()
		So(e.Answers, ShouldBeEmpty)
		So(orderedRuns(e)[workerID(1)], ShouldHaveLength, 1)
	})
}

// orderOf returns an order for the first incarnation of worker 0.
func orderOf(ref gypsumtide.RunRef) wire.Order {
	return wire.Order{Ref: ref, Size: gypsumtide.Size{Processors: 1600, Memory: 64}, StartWithin: 200, Expected: 50, Incarnation: incarnationOf(0)}
}

// newZonedAgent returns the state of the agent of worker 0 in a zone, ready to start runs.
func newZonedAgent(zone string) *runner.State {
	a := runner.NewState(runner.NewTiming(1000), 10, discardLogger{})
	a.SessionOpened("entry")
	a.SessionResumed(0, "entry")
	a.EchoReceived("entry", 2)
	a.Heartbeat(1, gypsumtide.WorkerInfo{Incarnation: incarnationOf(0), Service: "stock", Zone: zone, Address: "127.0.0.1:1", Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Seq: 1})
	a.SyncAnswered(1, *a.TakeEffects().Sync, gypsumtide.RenewResponse{StartTime: 1, Clock: 5000}, nil)
	return a
}

// Guards against jobs that wait until their deadline although no zone can serve them, and against
// refusals of jobs that have started or may still start.
func TestUnservableJob(t *testing.T) {
	refused := func(a Answer) {
		So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(a.Reason, ShouldEqual, reasonZoneEvacuated)
		So(a.RetryAfter, ShouldBeGreaterThanOrEqualTo, minRetryAfter)
	}
	rare := func(id string) Submission {
		sub := submission(id, 1, 50, 0)
		sub.Job.Steps[0].Label = "rare"
		return sub
	}

	Convey("With all zones evacuated, a job is refused on arrival and retries are spread", t, func() {
		s := newZonedState("a", "b")
		s.SetEvacuations(0, evacuated(7, "a", "b"))
		times := make(map[gypsumtide.Millis]bool)
		for i := range 8 {
			id := fmt.Sprint("job-", i)
			s.Submit(0, submission(id, 2, 50, 0))
			a := s.TakeEffects().Answers[id]
			refused(a)
			times[a.RetryAfter] = true
		}
		So(len(times), ShouldBeGreaterThan, 4)
	})

	Convey("A job whose label only workers of the evacuated zone have is refused, others are not", t, func() {
		s := newZonedState("a", "b")
		s.UpdateWorker(0, workerID(0), zoneReport(0, "a", "rare"))
		s.SetEvacuations(0, evacuated(7, "a"))
		s.Submit(0, rare("rare"))
		s.Submit(0, submission("other", 1, 50, 0))
		e := s.TakeEffects()
		refused(e.Answers["rare"])
		So(orderedRuns(e)[workerID(1)], ShouldHaveLength, 1)

		later := rare("later")
		later.Job.Steps = append([]gypsumtide.JobStep{{Tasks: 1, Size: later.Job.Steps[0].Size, Estimate: 20}}, later.Job.Steps...)
		later.Job.Steps[1].After = []int{0}
		s.Submit(0, later)
		refused(s.TakeEffects().Answers["later"])
	})

	Convey("During the start-up grace", t, func() {
		s := NewState(0, "z", 1.5, testTiming, discardLogger{})
		connect := func(n int, r wire.WorkerReport) {
			s.Connected(0, workerID(n), wire.Resume{Complete: true})
			s.UpdateWorker(0, workerID(n), r)
		}
		s.SetEvacuations(0, evacuated(7, "a"))
		connect(0, zoneReport(0, "a"))

		Convey("a job is refused once agents of other zones would have connected", func() {
			s.Submit(agentsSettleTime, submission("a", 1, 50, 0))
			refused(s.TakeEffects().Answers["a"])
		})
		Convey("a job that arrived before waits until then, and no longer", func() {
			s.Submit(agentsSettleTime-100, submission("a", 1, 50, 0))
			s.Tick(agentsSettleTime - 10)
			So(s.TakeEffects().Answers, ShouldBeEmpty)
			s.Tick(agentsSettleTime)
			refused(s.TakeEffects().Answers["a"])
		})
		Convey("a job waits while a worker of another zone accepts nothing yet", func() {
			r := zoneReport(1, "b")
			r.Accepting = false
			connect(1, r)
			s.Submit(agentsSettleTime-1, submission("a", 1, 50, 0))
			s.Tick(agentsSettleTime)
			So(s.TakeEffects().Answers, ShouldBeEmpty)
			s.UpdateWorker(agentsSettleTime+1, workerID(1), zoneReport(1, "b"))
			s.Tick(agentsSettleTime + 10)
			So(orderedRuns(s.TakeEffects())[workerID(1)], ShouldHaveLength, 1)
		})
	})

	Convey("Given a job with one order that starts and one that waits in a zone", t, func() {
		s := newZonedState("a")
		s.Submit(0, submission("a", 2, 50, 0))
		orders := orderedRuns(s.TakeEffects())[workerID(0)]
		So(orders, ShouldHaveLength, 2)
		s.HandleReport(1, workerID(0), wire.RunReport{Ref: orders[1], Queued: true})
		s.SetEvacuations(2, evacuated(7, "a"))
		back := returned()
		back.Ref = orders[1]
		s.HandleReport(3, workerID(0), back)

		Convey("it is not refused while the first may have started", func() {
			e := s.TakeEffects()
			So(e.Answers, ShouldBeEmpty)
			So(e.Messages, ShouldBeEmpty)
			s.Tick(20)

			Convey("and aborted, not refused, once that has ended", func() {
				s.Tick(30)
				e := s.TakeEffects()
				So(e.Answers, ShouldBeEmpty)
				So(e.Messages, ShouldBeEmpty)
				s.HandleReport(60, workerID(0), wire.RunReport{Ref: orders[0], End: gypsumtide.EndDone, RunTime: 50})
				s.Tick(70)
				So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
			})
		})
		Convey("it is refused at once when the agent returns the first too, and then has truly not started", func() {
			back.Ref = orders[0]
			s.HandleReport(4, workerID(0), back)
			refused(s.TakeEffects().Answers["a"])
			agent := newZonedAgent("a")
			agent.SetEvacuations(evacuated(7, "a"))
			for _, ref := range orders {
				agent.Submit(5, "entry", orderOf(ref), 5)
			}
			agent.SetEvacuations(evacuated(8))
			agent.Tick(120)
			So(agent.TakeEffects().Starts, ShouldBeEmpty)
		})
	})

	Convey("An entry that has missed the evacuation refuses too once the agents report it", t, func() {
		s := newZonedState("a")
		r := zoneReport(0, "a")
		r.Accepting, r.ZoneEvacuated, r.EvacuationsVersion = false, true, 7
		s.UpdateWorker(1, workerID(0), r)
		s.Submit(1, submission("a", 1, 50, 0))
		refused(s.TakeEffects().Answers["a"])

		Convey("but not if it knows that the evacuation has ended", func() {
			s.SetEvacuations(2, evacuated(8))
			So(s.evacuatedWorkers, ShouldEqual, 0)
		})
	})

	Convey("A stored job waits for the end of the evacuation", t, func() {
		s := newZonedState("a")
		s.SetEvacuations(0, evacuated(7, "a"))
		sub := submission("a", 1, 50, 0)
		s.Adopt(0, StoredJob{Job: sub.Job, Route: sub.Route})
		for now := gypsumtide.Millis(0); now < 5000; now += 10 {
			s.Tick(now)
		}
		e := s.TakeEffects()
		So(orderedRuns(e), ShouldBeEmpty)
		So(e.Answers, ShouldBeEmpty)
		s.SetEvacuations(5000, evacuated(8))
		s.Tick(5010)
		So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 1)
	})
}

// Guards against refusals and aborts while the workers of other zones are about to connect again
// after a loss of power or of all links.
func TestAgentsSettle(t *testing.T) {
	connect := func(s *State, now gypsumtide.Millis, n int, zone string) {
		s.Connected(now, workerID(n), wire.Resume{Complete: true})
		s.UpdateWorker(now, workerID(n), zoneReport(n, zone))
	}
	Convey("A job is not refused because an agent of the evacuated zone connects first", t, func() {
		s := NewState(0, "z", 1.5, testTiming, discardLogger{})
		s.SetEvacuations(0, evacuated(7, "a"))
		connect(s, 400, 0, "a")
		s.Submit(2980, submission("a", 1, 50, 0))
		s.Tick(3010) // The grace of the entry's own start has passed.
		So(s.unservable(3010, newJob(3010, submission("b", 1, 50, 0))), ShouldBeFalse)
		connect(s, 3020, 1, "b")
		s.Tick(3030)
		e := s.TakeEffects()
		So(e.Answers, ShouldBeEmpty)
		So(orderedRuns(e)[workerID(1)], ShouldHaveLength, 1)
	})
	Convey("A started job is not aborted when all agents were lost and one of the evacuated zone is back first", t, func() {
		s := newZonedState("a", "b")
		s.SetEvacuations(0, evacuated(7, "a"))
		sub := submission("a", 1, 50, 0)
		sub.Timeout = 10_000
		s.Submit(0, sub)
		s.TakeEffects()
		s.Tick(20)
		s.Disconnected(90, workerID(1), "link")
		s.Disconnected(100, workerID(0), "link")
		for now := gypsumtide.Millis(110); now < 1500; now += 10 {
			s.Tick(now)
		}
		So(s.workerList, ShouldBeEmpty)
		So(s.TakeEffects().Answers, ShouldBeEmpty)
		connect(s, 1500, 0, "a")
		s.Tick(1500 + agentsSettleTime - 10)
		So(s.TakeEffects().Answers, ShouldBeEmpty)

		Convey("but when no other zone has returned in time", func() {
			s.Tick(1500 + agentsSettleTime)
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
	})
}

// Guards against jobs that are held until their deadline because an agent that has no worker is
// connected.
func TestAgentWithoutWorker(t *testing.T) {
	Convey("Given an evacuated zone and an agent without a worker", t, func() {
		s := newZonedState("a")
		const connectedAt = 1000
		s.Connected(connectedAt, workerID(5), wire.Resume{Complete: true})
		s.UpdateWorker(connectedAt, workerID(5), wire.WorkerReport{})
		s.SetEvacuations(connectedAt, evacuated(7, "a"))

		Convey("A job that no zone can serve is refused once a worker would have described itself", func() {
			s.Submit(connectedAt+agentsSettleTime, submission("a", 1, 50, 0))
			So(s.TakeEffects().Answers["a"].Reason, ShouldEqual, reasonZoneEvacuated)
		})
		Convey("It is not before, and another session of the agent does not begin the time again", func() {
			j := newJob(connectedAt, submission("a", 1, 50, 0))
			So(s.unservable(connectedAt+agentsSettleTime-1, j), ShouldBeFalse)
			s.Connected(connectedAt+100, workerID(5), wire.Resume{Complete: true})
			So(s.unservable(connectedAt+agentsSettleTime, j), ShouldBeTrue)
		})
	})
}

// Guards against the answer "unknown" for a job of which all orders came back unstarted, and
// against a refusal of one of which something has run.
func TestPresumedStartReturned(t *testing.T) {
	Convey("Given a job that counts as started because no agent has reported its orders as queued", t, func() {
		s := newZonedState("a")
		s.Submit(0, submission("a", 2, 50, 0))
		first := orderedRuns(s.TakeEffects())
		s.Tick(10)
		So(s.jobs["a"].started, ShouldBeTrue)
		s.SetEvacuations(11, evacuated(7, "a"))
		end := func(now gypsumtide.Millis, i int, r wire.RunReport) {
			r.Ref = first[workerID(0)][i]
			s.HandleReport(now, workerID(0), r)
		}

		Convey("it is refused when all orders come back unstarted", func() {
			reportAll(s, 12, first, returned())
			s.Tick(20)
			a := s.TakeEffects().Answers["a"]
			So(a.Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
			So(a.RetryAfter, ShouldBeGreaterThanOrEqualTo, minRetryAfter)
		})
		Convey("its outcome is unknown when one of them ended otherwise", func() {
			end(12, 0, wire.RunReport{End: gypsumtide.EndLost})
			end(13, 1, returned())
			s.Tick(20)
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
		Convey("its outcome is unknown when a queued order started while it was refused", func() {
			end(12, 0, wire.RunReport{Queued: true})
			end(13, 1, returned())
			s.Tick(20)
			So(s.TakeEffects().Answers, ShouldBeEmpty) // Until the agent has returned the other one.
			end(21, 0, wire.RunReport{Started: true})
			end(25, 0, wire.RunReport{End: gypsumtide.EndStopped})
			s.Tick(30)
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
		Convey("its outcome is unknown at its deadline while an order has not come back", func() {
			end(12, 0, returned())
			s.Tick(1500)
			So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		})
	})
}

// Guards against runs in an evacuated zone that are stopped although no other worker can take the
// task.
func TestStalledRunInEvacuatedZone(t *testing.T) {
	stops := func(zones ...string) int {
		s := newZonedState(zones...)
		for i := 1; i < len(zones); i++ {
			s.UpdateLoad(0, workerID(i), loadReport(testCapacity/2))
		}
		s.Submit(0, submission("a", 1, 50, 0))
		So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 1)
		s.Tick(20)
		s.SetEvacuations(21, evacuated(7, "a"))
		slow := loadReport(1600)
		slow.Slowness = 4
		s.UpdateLoad(100, workerID(0), slow)
		n := 0
		for now := gypsumtide.Millis(110); now < 800; now += 10 {
			s.Tick(now)
			if m := s.TakeEffects().Messages[workerID(0)]; m != nil {
				n += len(m.Stops)
			}
		}
		return n
	}
	Convey("A slow run in an evacuated zone is moved only if another zone takes the task", t, func() {
		So(stops("a"), ShouldEqual, 0)
		So(stops("a", "b"), ShouldEqual, 1)
	})
}

// Guards against agents that learn of an evacuation with the next notice, or after an order, that
// keep an evacuation that has ended, and against messages where there was never one.
func TestSendEvacuations(t *testing.T) {
	Convey("Given a dispatcher with the session of an agent", t, func() {
		d := New(Config{Name: "entry", Zone: "z", Lease: 1000}, &fixedClock{}, discardLogger{}, metrics.NewSet(), link.NewAddresses(nil, &fixedClock{}))
		session := &agentSession{Session: &wire.Session{}}
		sent := func() *gypsumtide.Evacuations {
			var e *gypsumtide.Evacuations
			session.Update(func(f *wire.Frame) { e, f.Evacuations = f.Evacuations, nil })
			return e
		}
		receive := func(f *wire.Frame) { So(d.receive(workerID(0), session, f), ShouldBeNil) }
		resume := func(version uint64) {
			r := zoneReport(0, "a")
			r.EvacuationsVersion = version
			receive(&wire.Frame{Resume: &wire.Resume{Complete: true, Session: 1}, Worker: &r})
		}

		Convey("Nothing is sent without an evacuation, whatever the version", func() {
			d.SetEvacuations(evacuated(5))
			resume(0)
			d.SetEvacuations(evacuated(6))
			So(sent(), ShouldBeNil)
		})
		Convey("A session that begins during an evacuation is told when it resumes, before any order", func() {
			d.SetEvacuations(evacuated(7, "a"))
			resume(0)
			So(sent(), ShouldResemble, &gypsumtide.Evacuations{Version: 7, Zones: []string{"a"}})
		})
		Convey("So is one whose first frame does not describe the worker", func() {
			d.SetEvacuations(evacuated(7, "a"))
			receive(&wire.Frame{Resume: &wire.Resume{Complete: true, Session: 1}})
			So(sent().Version, ShouldEqual, 7)
		})
		Convey("A change is sent at once, and so is its end, once", func() {
			resume(0)
			So(sent(), ShouldBeNil)
			d.SetEvacuations(evacuated(7, "a"))
			So(sent().Version, ShouldEqual, 7)
			d.SetEvacuations(evacuated(7, "a"))
			So(sent(), ShouldBeNil)
			d.SetEvacuations(evacuated(8))
			So(sent(), ShouldResemble, &gypsumtide.Evacuations{Version: 8})
			d.SetEvacuations(evacuated(9))
			So(sent(), ShouldBeNil)
		})
		// Otherwise the agent would accept the end of an earlier evacuation from another entry.
		Convey("A newer version of the same zones is sent", func() {
			resume(0)
			d.SetEvacuations(evacuated(7, "a"))
			sent()
			d.SetEvacuations(evacuated(9, "a"))
			So(sent().Version, ShouldEqual, 9)
		})
		Convey("An entry that never saw an evacuation corrects an agent with an older set", func() {
			d.SetEvacuations(evacuated(9))
			resume(7)
			So(sent(), ShouldResemble, &gypsumtide.Evacuations{Version: 9})
		})
		Convey("It corrects the agent when the agent learns the older set later", func() {
			d.SetEvacuations(evacuated(9))
			resume(0)
			So(sent(), ShouldBeNil)
			r := zoneReport(0, "a")
			r.EvacuationsVersion = 7
			receive(&wire.Frame{Worker: &r})
			So(sent().Version, ShouldEqual, 9)
		})
		Convey("It does so as soon as it learns the newer set itself", func() {
			d.SetEvacuations(evacuated(6))
			resume(7)
			So(sent(), ShouldBeNil)
			d.SetEvacuations(evacuated(9))
			So(sent().Version, ShouldEqual, 9)
		})
	})
}

// Guards against orders that an agent starts because the set reaches it only after the session
// has been resumed.
func TestSetInFirstFrame(t *testing.T) {
	Convey("The first frame after the handshake has the set", t, func() {
		clock := &fixedClock{}
		d := New(Config{Name: "entry", Zone: "z", Lease: 1000}, clock, discardLogger{}, metrics.NewSet(), link.NewAddresses(nil, clock))
		d.SetEvacuations(evacuated(7, "a"))
		server := httptest.NewServer(http.HandlerFunc(d.ServeAgent))
		defer server.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s, err := link.Dial(ctx, server.Listener.Addr().String(), clock)
		So(err, ShouldBeNil)
		defer s.Close()
		_, err = link.ClientHandshake(ctx, s, wire.Hello{Kind: "agent", Name: "agent-0", Incarnation: "a"})
		So(err, ShouldBeNil)
		f, err := s.ReadFrame(ctx)
		So(err, ShouldBeNil)
		So(f.Evacuations, ShouldResemble, &gypsumtide.Evacuations{Version: 7, Zones: []string{"a"}})
	})
}

// fixedClock is a clock that stands still.
type fixedClock struct{}

func (*fixedClock) Now() gypsumtide.Millis  { return 10_000 }
func (*fixedClock) Wall() gypsumtide.Millis { return 10_000 }
