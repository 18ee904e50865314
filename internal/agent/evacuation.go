package agent

import (
	"slices"

	"gypsumtide/internal/object"
	"gypsumtide/internal/wire"
)

// updateZoneEvacuated blocks starts if the configuration evacuates the agent's availability
// zone, and returns the queued tasks to their homes, or unblocks them. Running tasks are not
// affected. It announces the change in the frames that return the tasks, so that the homes do
// not send them here again. The mutex must be held.
func (a *Agent) updateZoneEvacuated(set *object.Set) {
	evacuated := slices.ContainsFunc(set.Evacuations(), func(o object.Evacuation) bool { return o.AvailabilityZone == a.cfg.Zone })
	if evacuated == a.zoneEvacuated {
		return
	}
	a.zoneEvacuated = evacuated
	event := "starts-unblocked"
	if evacuated {
		event = "starts-blocked"
	}
	a.log.Info(event, "zone", a.cfg.Zone, "revision", a.revision(), "queued", a.queue.len(), "running", len(a.running))
	announcement := a.announcement()
	for _, s := range a.sessions {
		a.updateFrame(s, func(f *wire.Frame) { f.Announcement = announcement })
	}
	// Returns the queued tasks while starts are blocked.
	a.scheduleLocked()
}
