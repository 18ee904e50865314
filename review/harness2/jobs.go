//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// storedJob is a stored job that was accepted.
type storedJob struct {
	id, path   string
	tasks      int
	cpu        int64
	constraint string
}

// jobList holds the accepted jobs of a case.
type jobList struct {
	mu   sync.Mutex
	jobs []*storedJob
}

func (l *jobList) add(j *storedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
}

// progress is what the workers saw of a job.
type progress struct{ started, running, done int }

// jobProgress counts the tasks of each job that have started, run now and are done.
func jobProgress(r *Record) map[string]progress {
	out := make(map[string]progress)
	for task, list := range r.Runs() {
		id, _, _ := strings.Cut(task, ".")
		p := out[id]
		p.started++
		running, done := false, false
		for _, rr := range list {
			running = running || rr.how == ""
			done = done || rr.how == "done"
		}
		switch {
		case done:
			p.done++
		case running:
			p.running++
		}
		out[id] = p
	}
	return out
}

// checkIdle applies the last part of the rule LOST from now on, finish_s after the end of the
// traffic: for 3 s, a job has nothing running while the turn of a task has come, there is
// capacity for the task twice over, and under half of the capacity of the service is in use.
// The jobs have one step, so the turn of all their tasks has come. eligible returns the
// workers that may run tasks of the job.
func checkIdle(s *System, l *jobList, watch time.Duration, eligible func(j *storedJob) []*Worker, all func() []*Worker) {
	const idleTime = 3 * time.Second
	idleSince := make(map[string]time.Time)
	reported := make(map[string]bool)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		seen := jobProgress(s.rec)
		var used, capacity int64
		for _, w := range all() {
			used += w.InUse()
			capacity += w.life.cfg.CPU
		}
		for _, j := range l.jobs {
			p := seen[j.id]
			var free int64
			for _, w := range eligible(j) {
				free = max(free, w.life.cfg.CPU-w.InUse())
			}
			if p.done == j.tasks || p.running > 0 || free < 2*j.cpu || 2*used >= capacity {
				delete(idleSince, j.id)
				continue
			}
			since, ok := idleSince[j.id]
			if !ok {
				idleSince[j.id] = time.Now()
				continue
			}
			if time.Since(since) >= idleTime && !reported[j.id] {
				reported[j.id] = true
				s.rec.Violation("LOST: job %s has nothing running for 3 s; %d of its %d tasks are done; %d of %d thousandths of a core are in use", j.id, p.done, j.tasks, used, capacity)
			}
		}
	}
}

// askAll asks each entry in turn for the state of the jobs, and logs the answers.
func askAll(s *System, l *jobList) {
	for n, j := range l.jobs {
		s.state(s.entries[n%len(s.entries)], j.path)
	}
}

// submitAll hands in n jobs with the body, and returns an error if one is not accepted.
func submitAll(s *System, l *jobList, queue string, n int, base uint64, body string, j storedJob) error {
	for i := range n {
		job := j
		job.id = fmt.Sprintf("%016x", (base+uint64(i))*0x9e3779b97f4a7c15)
		job.path = "/" + queue + "/" + job.id
		if status := s.submit(job.path, body, func(a int) *Process { return s.entries[(i+a)%len(s.entries)] }); status != http.StatusOK {
			return fmt.Errorf("job %s: status %d", job.id, status)
		}
		l.add(&job)
	}
	return nil
}

// settle hands in a first stored job and waits until the entries have shared the partitions
// among themselves.
func (s *System) settle(queue string) error {
	body := jobBody(false, step{count: 1, cpu: 100, ms: 20})
	if status := s.submit("/"+queue+"/00000000000000ff", body, func(n int) *Process { return s.entries[n%len(s.entries)] }); status != http.StatusOK {
		return fmt.Errorf("first job: status %d", status)
	}
	time.Sleep(7 * time.Second)
	return nil
}
