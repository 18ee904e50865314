package agent

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/settings"
	"gypsumtide/internal/wire"
)

// zoneEvacuation returns a configuration that evacuates the availability zone.
func zoneEvacuation(revision uint64, zone string) *wire.Config {
	return &wire.Config{Revision: revision, Objects: []byte("kind: evacuation\nname: drill\navailability-zone: " + zone + "\n")}
}

func announcesEvacuated(evacuated bool) func(a *wire.Announcement) bool {
	return func(a *wire.Announcement) bool { return a.ZoneEvacuated == evacuated }
}

// TestZoneEvacuated guards against tasks that start in an evacuated availability zone, or
// wait there for their deadline, against running tasks that are stopped, and against an agent
// that stays blocked.
func TestZoneEvacuated(t *testing.T) {
	Convey("Given an agent with a running and a queued task", t, func() {
		f := newFixture(t, 1, func(cfg *settings.Agent) { cfg.Zone = "z1" })
		running := f.startTask(0, 1, 300)
		queued := f.queueTask(1, 1, nil)
		starts := f.worker.Starts()

		Convey("the evacuation of its zone returns the queued one, and blocks starts until it ends", func() {
			f.entry.send(func(fr *wire.Frame) { fr.Config = zoneEvacuation(1, "z1") })
			So(f.entry.awaitResult(queued, 1).Reason, ShouldEqual, wire.ReasonZoneEvacuated)
			f.entry.awaitAnnouncement("blocked starts", announcesEvacuated(true))
			f.entry.dispatch(dispatch(f.ref(2, 1), `{"run-ms":1}`))
			r := f.entry.awaitResult(f.ref(2, 1), 1)
			So(r.State, ShouldEqual, wire.TaskNotStarted)
			So(r.Reason, ShouldEqual, wire.ReasonZoneEvacuated)
			So(f.entry.awaitResult(running, 1).State, ShouldEqual, wire.TaskDone)
			So(f.worker.Starts(), ShouldEqual, starts)

			// A revision that this version cannot parse ends nothing.
			f.entry.send(func(fr *wire.Frame) { fr.Config = &wire.Config{Revision: 2, Objects: []byte("kind: new\n")} })
			f.entry.dispatch(dispatch(f.ref(3, 1), `{"run-ms":1}`))
			So(f.entry.awaitResult(f.ref(3, 1), 1).Reason, ShouldEqual, wire.ReasonZoneEvacuated)

			f.entry.send(func(fr *wire.Frame) { fr.Config = &wire.Config{Revision: 3} })
			f.entry.awaitAnnouncement("unblocked starts", announcesEvacuated(false))
			f.entry.dispatch(dispatch(f.ref(4, 1), `{"run-ms":1}`))
			So(f.entry.awaitResult(f.ref(4, 1), 1).State, ShouldEqual, wire.TaskDone)
		})
		Convey("the evacuation of another zone changes nothing", func() {
			f.entry.send(func(fr *wire.Frame) { fr.Config = zoneEvacuation(1, "z2") })
			So(f.entry.awaitResult(queued, 1).State, ShouldEqual, wire.TaskDone)
		})
		Convey("a broken session does not unblock starts", func() {
			So(f.agent.applyConfig(zoneEvacuation(1, "z1")), ShouldBeNil)
			So(f.agent.queueLen(), ShouldEqual, 0)
			f.entry.breakSession()
			f.entry.dispatch(dispatch(f.ref(2, 1), `{"run-ms":1}`))
			So(f.entry.awaitResult(f.ref(2, 1), 1).Reason, ShouldEqual, wire.ReasonZoneEvacuated)
		})
	})
}

// TestEvacuationInFrameOfDispatch guards against a task that starts although the frame of its
// dispatch evacuates the zone, as the first frame to an agent that has restarted may.
func TestEvacuationInFrameOfDispatch(t *testing.T) {
	Convey("the configuration of a frame precedes its dispatches", t, func() {
		f := newFixture(t, 1, func(cfg *settings.Agent) { cfg.Zone = "z1" })
		f.entry.send(func(fr *wire.Frame) {
			fr.Dispatches = append(fr.Dispatches, dispatch(f.ref(0, 1), `{"run-ms":1}`))
			fr.Config = zoneEvacuation(1, "z1")
		})
		So(f.entry.awaitResult(f.ref(0, 1), 1).Reason, ShouldEqual, wire.ReasonZoneEvacuated)
		So(f.worker.Starts(), ShouldEqual, 0)
	})
}
