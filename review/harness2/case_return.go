//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["return"] = testCase{entries: 2, agents: 8, run: runReturn} }

// runReturn replaces eight workers one after the other: each drains, deregisters, ends and
// starts again under its id. The disruption suspends the agent of the worker for 4 s around
// that time. Later, jobs are handed in that need the rack of one of the workers each.
func runReturn(s *System, trouble bool) error {
	workers := make([]WorkerConfig, 8)
	for i := range workers {
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Labels: []string{"a", fmt.Sprintf("r1-%d", i+1)}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	const (
		drainTime  = 2200 * time.Millisecond
		freezeTime = 4 * time.Second
		interval   = 4200 * time.Millisecond // Only one agent is suspended at a time.
	)
	var wg sync.WaitGroup
	for i, w := range s.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * interval)
			w.Drain()
			time.Sleep(drainTime)
			frozenAt := time.Now()
			if trouble {
				s.agents[i].signal(syscall.SIGSTOP)
			}
			time.Sleep(100 * time.Millisecond)
			w.Leave()
			time.Sleep(100 * time.Millisecond)
			if err := w.Start(workers[i]); err != nil {
				s.rec.Log("start: %v", err)
			}
			time.Sleep(time.Until(frozenAt.Add(freezeTime)))
			if trouble {
				s.agents[i].signal(syscall.SIGCONT)
			}
		}()
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	var jobs jobList
	const cpu, ms = 1600, 200
	for i := range s.workers {
		rack := fmt.Sprintf("r1-%d", i+1)
		body := jobBody(false, step{count: 2, cpu: cpu, ms: ms, constraint: rack})
		if err := submitAll(s, &jobs, "orders", 2, uint64(100*i+1), body, storedJob{tasks: 2, cpu: cpu, constraint: rack}); err != nil {
			return err
		}
	}
	time.Sleep(14 * time.Second)
	all := func() []*Worker { return s.workers }
	eligible := func(j *storedJob) []*Worker {
		for _, w := range s.workers {
			if w.life.cfg.Labels[1] == j.constraint {
				return []*Worker{w}
			}
		}
		return nil
	}
	checkIdle(s, &jobs, 8*time.Second, eligible, all)
	askAll(s, &jobs)
	return nil
}
