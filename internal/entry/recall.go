package entry

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/placement"
	"gypsumtide/internal/wire"
)

// recall asks overloaded and ejected agents to return queued tasks, so that idle agents
// can run them. It does nothing while tasks wait in the queue of the pool.
func (h *home) recall(p *pool, now gypsumtide.Millis) {
	if now-p.recalledAt < recallInterval || p.queue.Len() > 0 {
		return
	}
	p.recalledAt = now
	for service, list := range p.agentsByService {
		if hasOverload(list.views) {
			h.recallFrom(p, service, list, now)
		}
	}
}

// hasOverload reports whether an agent has more open tasks than slots or is ejected, so
// that tasks may be recalled from it.
func hasOverload(views []*gypsumtide.AgentView) bool {
	return slices.ContainsFunc(views, func(v *gypsumtide.AgentView) bool { return v.OpenTasks() > v.Slots() || v.Ejected() })
}

// recallFrom recalls tasks of one service that are not known to run.
func (h *home) recallFrom(p *pool, service string, list *agentList, now gypsumtide.Millis) {
	var sent []placement.DispatchedTask
	var refs []wire.TaskRef
	for i, conn := range list.conns {
		for k, o := range conn.openTasks {
			if o.task.Service() != service || o.recalled || h.isRunning(k) {
				continue
			}
			sent = append(sent, placement.DispatchedTask{Task: o.task, Agent: i, DispatchedAt: o.sentAt})
			refs = append(refs, wire.TaskRef{Submission: k.submission, Task: k.index, Epoch: o.epoch})
		}
	}
	for _, i := range p.recaller.Recall(now, sent, list.views) {
		conn := list.conns[sent[i].Agent]
		key := taskKeyOf(refs[i])
		o := conn.openTasks[key]
		o.recalled = true
		conn.openTasks[key] = o
		conn.session.Update(func(f *wire.Frame) { f.Recalls = append(f.Recalls, refs[i]) })
		h.metrics.recalls.Inc()
		h.decisions.log("recall", "submission", refs[i].Submission.String(), "task", refs[i].Task, "agent", conn.record.Name)
	}
}

// isRunning reports whether a task is known to run. It is also true for tasks
// whose job has ended.
func (h *home) isRunning(k taskKey) bool {
	aj := h.jobs[k.submission]
	return aj == nil || aj.Running(k.index)
}
