package runner

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// noteCheckpoint keeps the checkpoint that the worker lists for a run. It returns whether
// that is a new one.
func (r *run) noteCheckpoint(saved string, percent int) bool {
	if !r.order.Checkpointable || saved == "" || saved == r.checkpoint {
		return false
	}
	r.checkpoint, r.checkpointPercent = saved, percent
	return true
}

// reportCheckpoint reports a new checkpoint of a run. Its owner resumes the task from it if
// the run is lost together with this agent.
func (s *State) reportCheckpoint(r *run, p gypsumtide.RunProgress) {
	if r.noteCheckpoint(p.Checkpoint, p.Percent) && !r.stopping {
		s.report(r.owner, r.addCheckpoint(wire.RunReport{Ref: r.order.Ref}))
	}
}

// addCheckpoint adds the run's newest checkpoint to a report. A task that is done needs none.
func (r *run) addCheckpoint(report wire.RunReport) wire.RunReport {
	if r.checkpoint != "" && report.End != gypsumtide.EndDone {
		report.Checkpoint, report.CheckpointPercent, report.Submission = r.checkpoint, r.checkpointPercent, r.order.Submission
	}
	return report
}

// resumed reports whether the run resumes from a checkpoint.
func (r *run) resumed() bool { return r.order.Checkpoint != "" }

// beginProgress resets the progress of a run that is sent to the worker. A resumed run makes
// none while its checkpoint is restored, and its run time says nothing about the worker,
// since the work that is left is not known well.
func (r *run) beginProgress(now gypsumtide.Millis) {
	r.percent, r.advancedAt = 0, now
	if !r.resumed() {
		return
	}
	r.advancedAt = now + r.order.Restore
	r.sampled = true
	r.listed, r.workFrom = false, 0
	r.checkpoint, r.checkpointPercent = r.order.Checkpoint, 0
}

// noteProgress records the progress that the worker lists for a run. A resumed run may count
// from 0 or from its checkpoint, so what it lists first is not taken for progress.
func (r *run) noteProgress(now gypsumtide.Millis, percent int) {
	if r.resumed() && !r.listed {
		r.listed, r.percent, r.basePercent = true, percent, percent
		return
	}
	if percent <= r.percent {
		return
	}
	r.percent, r.advancedAt = percent, now
	if r.resumed() && r.workFrom == 0 {
		r.basePercent, r.workFrom = percent, now
	}
}

// progress returns the progress from which the run time can be projected, in percent.
func (r *run) progress() int { return r.percent - r.basePercent }

// projectedTotal returns the projected total run time. It extrapolates a resumed run from the
// first progress after its restoration.
func (r *run) projectedTotal(now gypsumtide.Millis) gypsumtide.Millis {
	elapsed := now - r.startedAt
	if r.resumed() && r.progress() > 0 {
		return elapsed + gypsumtide.Millis(100-r.percent)*(now-r.workFrom)/gypsumtide.Millis(r.progress())
	}
	return elapsed * 100 / gypsumtide.Millis(max(1, r.progress()))
}
