//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes record.txt, and keeps what the checks need.
type Record struct {
	begin time.Time

	mu         sync.Mutex
	file       *os.File
	out        *bufio.Writer
	runs       map[string][]*runRecord // By task.
	violations []string
}

// runRecord is a run of a task as its worker saw it.
type runRecord struct {
	task     string
	run      uint64
	worker   string
	labels   []string
	service  string
	begin    time.Time
	end      time.Time
	how      string
	acked    bool
	lapsedBy bool // The lease had expired between the end and its acknowledgement.
}

func newRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{begin: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]*runRecord)}, nil
}

// Log writes a line with the time since the start in seconds.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(format, args...)
}

func (r *Record) log(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Violation records that the rule was broken.
func (r *Record) Violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.log("BROKEN: %s", text)
}

// Violations returns the number of violations.
func (r *Record) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Start records the start of a run.
func (r *Record) Start(w *Worker, li *life, task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[task] = append(r.runs[task], &runRecord{
		task: task, run: run, worker: li.cfg.ID, labels: li.cfg.Labels, service: li.cfg.Service, begin: time.Now(),
	})
	r.log("start %s run %d on %s", task, run, li.cfg.ID)
}

// End records the end of a run.
func (r *Record) End(w *Worker, li *life, task string, run uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rr := r.find(task, run, li.cfg.ID); rr != nil && rr.how == "" {
		rr.end, rr.how = time.Now(), how
	}
	r.log("end   %s run %d on %s: %s", task, run, li.cfg.ID, how)
}

// Acknowledged records that the worker was told to forget an end.
func (r *Record) Acknowledged(w *Worker, li *life, e workerEnd, lapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rr := r.find(e.task, e.run, li.cfg.ID); rr != nil {
		rr.acked, rr.lapsedBy = true, lapsed
	}
	r.log("ack   %s run %d on %s, lease expired meanwhile: %v", e.task, e.run, li.cfg.ID, lapsed)
}

// find returns the newest record of a run. The caller holds the lock.
func (r *Record) find(task string, run uint64, worker string) *runRecord {
	list := r.runs[task]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].run == run && list[i].worker == worker {
			return list[i]
		}
	}
	return nil
}

// Runs returns the runs of all tasks.
func (r *Record) Runs() map[string][]runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]runRecord, len(r.runs))
	for task, list := range r.runs {
		for _, rr := range list {
			out[task] = append(out[task], *rr)
		}
	}
	return out
}

// checkTwice applies the rule TWICE to the tasks of stored jobs: two runs of a task at the
// same time, or a start after an end "done" that is acknowledged while the lease has not
// expired between the two.
func checkTwice(r *Record) {
	for task, list := range r.Runs() {
		for i, a := range list {
			for j, b := range list {
				if i == j || b.begin.Before(a.begin) {
					continue
				}
				switch {
				case a.how == "" || b.begin.Before(a.end):
					r.Violation("TWICE: %s: run %d on %s started while run %d was running on %s", task, b.run, b.worker, a.run, a.worker)
				case a.how == "done" && a.acked && !a.lapsedBy:
					r.Violation("TWICE: %s: run %d on %s started %d ms after run %d had ended done on %s; that end is acknowledged, and the lease had not expired between the two",
						task, b.run, b.worker, b.begin.Sub(a.end).Milliseconds(), a.run, a.worker)
				}
			}
		}
	}
}
