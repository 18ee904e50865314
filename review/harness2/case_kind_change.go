//go:build review

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["kind-change"] = testCase{entries: 2, agents: 8, run: runKindChange} }

// runKindChange hands in jobs that need a worker of the kind "b". The worker of that kind
// crashes while orders wait at its agent, and starts again as one of the kind "a" at the same
// address.
func runKindChange(s *System, trouble bool) error {
	workers := make([]WorkerConfig, 8)
	for i := range workers {
		kind := "a"
		if i < 2 {
			kind = "b"
		}
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Labels: []string{kind, fmt.Sprintf("r1-%d", i/3+1)}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	const jobsPerSecond, seconds = 22, 10
	body := jobBody(false, step{count: 8, cpu: 1600, ms: 170, constraint: "b"})
	begin := time.Now()
	var wg sync.WaitGroup
	for n := range jobsPerSecond * seconds {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / jobsPerSecond)))
		if trouble && n == jobsPerSecond*seconds/2 {
			s.workers[0].Crash()
			time.Sleep(restartDelay)
			cfg := workers[0]
			cfg.Labels = []string{"a", "r1-1"}
			if err := s.workers[0].Start(cfg); err != nil {
				return err
			}
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			path := fmt.Sprintf("/orders/%016x", 0x1000000+n)
			s.submit(path, body, func(a int) *Process { return s.entries[(n+a)%2] })
		}()
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	for _, list := range s.rec.Runs() {
		for _, r := range list {
			if strings.HasPrefix(r.task, "00000000000000ff") {
				continue
			}
			if !slices.Contains(r.labels, "b") {
				s.rec.Violation("ROUTE: %s run %d was started on %s, whose labels are %v; its step needs the label b", r.task, r.run, r.worker, r.labels)
			}
		}
	}
	return nil
}

// restartDelay is the time from the crash of a worker to its next start.
const restartDelay = 100 * time.Millisecond
