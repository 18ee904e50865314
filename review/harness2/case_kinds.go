//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["kinds"] = testCase{entries: 10, agents: 24, run: runKinds} }

// runKinds hands in jobs that need a worker of the kind "b", of which there are four among 24,
// at ten entries. The disruption is the loss of three of these four.
func runKinds(s *System, trouble bool) error {
	workers := make([]WorkerConfig, 24)
	for i := range workers {
		kind := "a"
		if i%6 == 0 {
			kind = "b"
		}
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Labels: []string{kind, fmt.Sprintf("r1-%d", i/7+1)}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, i := range []int{0, 6, 12} {
			s.workers[i].Crash()
		}
	}
	time.Sleep(5 * time.Second)
	var jobs jobList
	const cpu, ms = 1600, 200
	body := jobBody(false, step{count: 2, cpu: cpu, ms: ms, constraint: "b"})
	if err := submitAll(s, &jobs, "orders", 60, 1, body, storedJob{tasks: 2, cpu: cpu, constraint: "b"}); err != nil {
		return err
	}
	time.Sleep(14 * time.Second)
	alive := func() []*Worker {
		var list []*Worker
		for _, w := range s.workers {
			if !w.life.dead {
				list = append(list, w)
			}
		}
		return list
	}
	eligible := func(*storedJob) []*Worker {
		var list []*Worker
		for _, w := range alive() {
			if w.life.cfg.Labels[0] == "b" {
				list = append(list, w)
			}
		}
		return list
	}
	checkIdle(s, &jobs, 20*time.Second, eligible, alive)
	askAll(s, &jobs)
	return nil
}
