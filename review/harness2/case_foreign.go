//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = testCase{entries: 2, agents: 2, run: runForeign} }

// runForeign hands in stored jobs for the only service of the configuration. The disruption
// is one heartbeat to one agent from another writer: it names a service that the
// configuration does not have.
func runForeign(s *System, trouble bool) error {
	workers := []WorkerConfig{
		{ID: "i-1", Service: "orders", Labels: []string{"a", "r1-1"}, CPU: 16000, MemoryMB: 65536},
		{ID: "i-2", Service: "orders", Labels: []string{"a", "r1-1"}, CPU: 16000, MemoryMB: 65536},
	}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	const jobsPerSecond, seconds = 44, 10
	body := jobBody(false, step{count: 8, cpu: 800, ms: 170})
	begin := time.Now()
	var wg sync.WaitGroup
	for n := range jobsPerSecond * seconds {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / jobsPerSecond)))
		if trouble && n == jobsPerSecond*seconds/2 {
			ip := s.agents[0].ip
			other := newWorker(s.rec, fmt.Sprintf("%s:%d", ip, s.ports.rangeFirst+4), fmt.Sprintf("%s:%d", ip, s.ports.control))
			other.beats = 1
			if err := other.Start(WorkerConfig{ID: "x-1", Service: "lathes", Labels: []string{"a", "r1-1"}, CPU: 16000, MemoryMB: 65536}); err != nil {
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
	lapsed := 0
	for _, list := range s.rec.Runs() {
		for _, r := range list {
			if r.how == "lapsed" && strings.HasPrefix(r.worker, "i-") {
				lapsed++
			}
			if r.service != "orders" {
				s.rec.Violation("ROUTE: %s run %d was started on %s, a worker of the service %s, which no configuration names", r.task, r.run, r.worker, r.service)
			}
		}
	}
	s.rec.Log("%d runs on the service's own workers ended with the lease", lapsed)
	fmt.Println(lapsed, "runs lapsed")
	return nil
}
