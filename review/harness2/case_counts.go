//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["counts"] = testCase{entries: 3, agents: 1, run: runCounts} }

// runCounts hands in jobs that cannot begin yet, since no worker of their kind is there, and
// asks one entry for the number of queued jobs. The disruption kills the two other entries at
// the same moment; they start again 3 s later.
func runCounts(s *System, trouble bool) error {
	workers := []WorkerConfig{{ID: "i-1", Service: "orders", Labels: []string{"a", "r1-1"}, CPU: 16000, MemoryMB: 65536}}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	var jobs jobList
	const count = 96
	body := jobBody(false, step{count: 1, cpu: 1600, ms: 200, constraint: "b"})
	if err := submitAll(s, &jobs, "orders", count, 1, body, storedJob{tasks: 1, cpu: 1600, constraint: "b"}); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	survivor := s.entries[0]
	if trouble {
		go func() {
			time.Sleep(3 * time.Second)
			s.entries[1].signal(syscall.SIGKILL)
			s.entries[2].signal(syscall.SIGKILL)
			time.Sleep(3 * time.Second)
			for _, p := range s.entries[1:] {
				if err := p.start(); err != nil {
					s.rec.Log("start: %v", err)
				}
			}
		}()
	}
	wrong := 0
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, text := s.call(survivor, http.MethodGet, "/orders/", "", 1500*time.Millisecond)
		var b struct {
			Queued int `json:"queuedJobs"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &b) != nil {
			s.rec.Log("client: GET /orders/ at %s -> %d %s", survivor.name, status, text)
			continue
		}
		s.rec.Log("client: GET /orders/ at %s -> queuedJobs %d", survivor.name, b.Queued)
		if 2*b.Queued < count {
			wrong++
			if wrong == 1 {
				s.rec.Violation("MIXED: %s gives %d as queuedJobs; %d jobs were accepted over 5 s before and have not begun", survivor.name, b.Queued, count)
			}
		}
	}
	s.rec.Log("%d answers gave less than half of the number", wrong)
	if wrong > 0 {
		fmt.Println(wrong, "answers gave less than half")
	}
	return nil
}
