//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["explore-pages"] = testCase{entries: 2, agents: 3, run: runPages} }

// runPages accepts so many jobs that a partition has several pages of keys, kills an entry and
// asks for all jobs.
func runPages(s *System, trouble bool) error {
	workers := make([]WorkerConfig, 3)
	for i := range workers {
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Labels: []string{"a"}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	body := jobBody(false, step{count: 1, cpu: 400, ms: 10})
	var wg sync.WaitGroup
	var n, refused atomic.Int64
	var mu sync.Mutex
	var ids []string
	end := time.Now().Add(50 * time.Second)
	for range 120 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				k := n.Add(1)
				path := fmt.Sprintf("/orders/%016x", uint64(k)*0x9e3779b97f4a7c15)
				status, _ := s.call(s.entries[k%2], "POST", path, body, 1500*time.Millisecond)
				if status == 200 {
					mu.Lock()
					ids = append(ids, path)
					mu.Unlock()
				} else {
					refused.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	s.rec.Log("accepted %d, not accepted %d", len(ids), refused.Load())
	fmt.Println("accepted", len(ids), "not", refused.Load())
	if trouble {
		s.entries[1].signal(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		s.entries[1].wait()
		_ = s.entries[1].start()
	}
	time.Sleep(12 * time.Second)
	counts := make(map[string]int)
	for g := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := g; i < len(ids); i += 60 {
				status, text := s.call(s.entries[i%2], "GET", ids[i], "", 1500*time.Millisecond)
				mu.Lock()
				counts[fmt.Sprint(status, strings.TrimSpace(text))]++
				mu.Unlock()
				if status == 410 {
					s.rec.Violation("LOST: %s is answered 410", ids[i])
				}
			}
		}()
	}
	wg.Wait()
	fmt.Println(counts)
	checkTwice(s.rec)
	return nil
}
