//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["ends"] = testCase{entries: 2, agents: 3, run: runEnds} }

// runEnds hands in stored jobs like the site's stock checks, while the store refuses a
// part of the partitions for 4.5 s.
func runEnds(s *System, trouble bool) error {
	workers := make([]WorkerConfig, 3)
	for i := range workers {
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Labels: []string{"a", fmt.Sprintf("r1-%d", i+1)}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("checks", "orders", 4), workers); err != nil {
		return err
	}
	const (
		jobsPerSecond = 75
		seconds       = 16
	)
	body := jobBody(false, step{count: 8, cpu: 1000, ms: 51})
	if err := s.settle("checks"); err != nil {
		return err
	}
	begin := time.Now()
	if trouble {
		time.AfterFunc(5*time.Second, func() {
			var refused []string
			for p := 0; p < 9; p++ {
				refused = append(refused, fmt.Sprintf("keyed.jobs/%d", p))
			}
			s.rec.Log("store: down for the partitions %v", refused)
			s.store.SetRefused(refused)
			time.Sleep(4500 * time.Millisecond)
			s.store.SetRefused(nil)
			s.rec.Log("store: up again")
		})
	}
	go func() {
		for time.Since(begin) < (seconds+14)*time.Second {
			s.rec.Log("ends that are not acknowledged: %d %d %d", s.workers[0].Backlog(), s.workers[1].Backlog(), s.workers[2].Backlog())
			time.Sleep(250 * time.Millisecond)
		}
	}()
	var wg sync.WaitGroup
	for n := range jobsPerSecond * seconds {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / jobsPerSecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			path := fmt.Sprintf("/checks/%016x", 0x1000000+n)
			s.submit(path, body, func(a int) *Process { return s.entries[(n+a)%2] })
		}()
	}
	wg.Wait()
	time.Sleep(14 * time.Second)
	checkTwice(s.rec)
	return nil
}
