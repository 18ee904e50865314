package dispatch

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// checkpoint is the saved state of a task of which a later run can resume.
type checkpoint struct {
	// data is the worker's text, or "" if there is no checkpoint.
	data string
	// percent is the share of the task's work at the checkpoint.
	percent int
}

// maxCheckpointPercent leaves some work to a resumed run: a checkpoint belongs to a run that
// has not ended.
const maxCheckpointPercent = 99

// newCheckpoint returns a checkpoint, without data if that is too long.
func newCheckpoint(data string, percent int) checkpoint {
	if data == "" || len(data) > gypsumtide.MaxCheckpointBytes {
		return checkpoint{}
	}
	return checkpoint{data: data, percent: min(maxCheckpointPercent, max(0, percent))}
}

// keepCheckpoint keeps the checkpoint in a report on the task's run. A run of an earlier
// submission of the job may have the same name and number, so its reports bring none.
func (s *State) keepCheckpoint(t *task, r wire.RunReport) {
	c := newCheckpoint(r.Checkpoint, r.CheckpointPercent)
	if c.data == "" || c.data == t.checkpoint.data || !t.checkpointable() || r.Submission != t.job.submission {
		return
	}
	// Whether a resumed run counts its progress from 0 again is not known.
	c.percent = max(c.percent, t.checkpoint.percent)
	s.setCheckpoint(t, c)
}

// setCheckpoint replaces the task's checkpoint, also in the log if the job is stored.
func (s *State) setCheckpoint(t *task, c checkpoint) {
	t.checkpoint = c
	if t.job.stored {
		s.effects.Stored.Checkpoints = append(s.effects.Stored.Checkpoints, TaskCheckpoint{Task: t.name, Data: c.data, Percent: c.percent})
	}
}

// dropFailedCheckpoint makes the task start anew if its run has failed without a newer
// checkpoint than the one it resumed from, which may be the cause.
func (s *State) dropFailedCheckpoint(t *task) {
	if t.resumedFrom.data != "" && t.checkpoint == t.resumedFrom {
		s.setCheckpoint(t, checkpoint{})
	}
}

// numberSubmission gives a new job its number at this entry.
func (s *State) numberSubmission(j *job) {
	s.submissions++
	j.submission = s.submissions
}

func (t *task) checkpointable() bool { return t.job.steps[t.step].Checkpointable }

// resumeFrom notes that the run that is being ordered resumes from the task's checkpoint, if it
// has one.
func (s *State) resumeFrom(t *task) {
	if t.resumedFrom = t.checkpoint; t.checkpoint.data != "" {
		s.log.Decision("run-resumed", "run", t.ref(), "worker", t.worker, "percent", t.checkpoint.percent, "expected-ms", s.expectedRun(t), "bytes", len(t.checkpoint.data))
	}
}

// addCheckpoint adds the task's checkpoint to an order, if its step has checkpoints.
func (s *State) addCheckpoint(t *task, o wire.Order) wire.Order {
	if !t.checkpointable() {
		return o
	}
	o.Checkpointable, o.Submission, o.Checkpoint = true, t.job.submission, t.checkpoint.data
	if o.Checkpoint != "" {
		o.Restore = s.timing.RestoreTime
	}
	return o
}

// expectedRun returns the expected run time of the task's next run on an average worker.
func (s *State) expectedRun(t *task) gypsumtide.Millis {
	return gypsumtide.Millis(s.runTimeFrom(t.checkpoint, float64(s.expected(t.job, t.step)), 1))
}

// runTimeFrom returns the run time in milliseconds of a run that resumes from c. work is that
// of the whole task on an average worker, factor the one by which the run's worker takes longer.
func (s *State) runTimeFrom(c checkpoint, work, factor float64) float64 {
	if c.data == "" {
		return work * factor
	}
	return work*factor*float64(100-c.percent)/100 + float64(s.timing.RestoreTime)
}

// wholeWork returns the work of the whole task, given the projected run time in milliseconds
// of its present run and the factor by which the run's worker takes longer.
func (s *State) wholeWork(t *task, projected, factor float64) float64 {
	if t.resumedFrom.data == "" {
		return projected / factor
	}
	return max(0, projected-float64(s.timing.RestoreTime)) / factor * 100 / float64(100-t.resumedFrom.percent)
}
