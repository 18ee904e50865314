//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["route"] = testCase{entries: 2, agents: 12, run: runRoute} }

// runRoute removes a queue while its jobs are under way, adds it again with another service,
// takes the worker of the old service away, and then stops and starts the entries in turn.
func runRoute(s *System, trouble bool) error {
	workers := make([]WorkerConfig, 12)
	for i := range workers {
		service := "spares"
		if i == 0 {
			service = "orders"
		}
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: service, Labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("quotes", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("quotes"); err != nil {
		return err
	}
	var jobs jobList
	const cpu, ms = 1600, 900
	body := jobBody(false, step{count: 16, cpu: cpu, ms: ms})
	if err := submitAll(s, &jobs, "quotes", 120, 1, body, storedJob{tasks: 16, cpu: cpu}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	s.publish(route("checks", "spares", 3))
	time.Sleep(500 * time.Millisecond)
	s.publish(route("checks", "spares", 3) + "," + route("quotes", "spares", 3))
	time.Sleep(1500 * time.Millisecond)
	s.workers[0].Drain()
	time.AfterFunc(3*time.Second, s.workers[0].Leave)
	if trouble {
		for _, p := range s.entries {
			p.signal(syscall.SIGTERM)
			p.wait()
			s.rec.Log("%s has ended", p.name)
			if err := p.start(); err != nil {
				return err
			}
			if err := s.awaitReady(10 * time.Second); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(14 * time.Second)
	spares := func() []*Worker { return s.workers[1:] }
	checkIdle(s, &jobs, 10*time.Second, func(*storedJob) []*Worker { return spares() }, spares)
	askAll(s, &jobs)
	return nil
}
