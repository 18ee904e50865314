package agent

import "gypsumtide"

// load returns the load report for one session. The mutex must be held.
func (a *Agent) load(s *entrySession) gypsumtide.Load {
	load := gypsumtide.Load{Running: len(a.running), Queued: a.queue.len(), Used: a.registry.Used()}
	for _, t := range a.running {
		long := classOf(&t.dispatch) == gypsumtide.ClassLong
		if long {
			load.RunningLong++
		}
		countFromPeer(&load, t.session == s.number, long)
	}
	for class, tasks := range a.queue.tasks {
		long := gypsumtide.Class(class) == gypsumtide.ClassLong
		if long {
			load.QueuedLong += len(tasks)
		}
		for _, t := range tasks {
			countFromPeer(&load, t.session == s.number, long)
		}
	}
	return load
}

// countFromPeer adds a task to the counts of tasks from the peer of the session if
// fromPeer is set.
func countFromPeer(load *gypsumtide.Load, fromPeer, long bool) {
	if !fromPeer {
		return
	}
	load.FromPeer++
	if long {
		load.FromPeerLong++
	}
}
