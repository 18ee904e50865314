package agent

import "gypsumtide"

// load returns the report for one session. The caller holds the mutex.
func (a *Agent) load(l *link) gypsumtide.Load {
	load := gypsumtide.Load{Running: len(a.running), Queued: a.queue.len(), Used: a.registry.Used()}
	for _, it := range a.running {
		long := classOf(&it.dispatch) == gypsumtide.ClassLong
		if long {
			load.RunningLong++
		}
		countPeer(&load, it.link == l.number, long)
	}
	for class, items := range a.queue.items {
		long := gypsumtide.Class(class) == gypsumtide.ClassLong
		if long {
			load.QueuedLong += len(items)
		}
		for _, it := range items {
			countPeer(&load, it.link == l.number, long)
		}
	}
	return load
}

func countPeer(load *gypsumtide.Load, peer, long bool) {
	if !peer {
		return
	}
	load.FromPeer++
	if long {
		load.FromPeerLong++
	}
}
