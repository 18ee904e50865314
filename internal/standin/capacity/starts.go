package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clients     = 6
	startWindow = 3 * time.Second
)

// measureStarts measures the entry's processor time per task from the caller's
// HTTP request to the answer, with bare agents that answer at once.
func measureStarts() error {
	out := newSeries()
	for range repeats {
		for _, n := range sessionSizes {
			if err := starts(out, n, 100, n); err != nil {
				return err
			}
		}
	}
	out.print("whole entry, jobs of 100 tasks; sizes are agents", fullAgents)
	jobs := newSeries()
	for range repeats {
		for _, tasks := range []int{10, 100, 400, 1200} {
			if err := starts(jobs, 1000, tasks, tasks); err != nil {
				return err
			}
		}
	}
	jobs.print("whole entry, 1,000 agents; sizes are tasks of a job", 1200)
	return nil
}

func starts(out *series, n, tasks, size int) error {
	s, err := startSite()
	if err != nil {
		return err
	}
	defer s.stop()
	agents, err := startChild("bare", fmt.Sprint(n), s.entry.url)
	if err != nil {
		return err
	}
	defer agents.stop()
	if _, err := s.entry.await("connections", func(u sample) bool { return u.Connected >= int64(n) }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	body, err := jobBody(tasks)
	if err != nil {
		return err
	}
	e0, err := s.entry.sample()
	if err != nil {
		return err
	}
	start := time.Now()
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for time.Since(start) < startWindow {
				if submit(s.entry.url, body) {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	per := time.Since(start).Seconds()
	e1, err := s.entry.sample()
	if err != nil {
		return err
	}
	started := float64(done.Load()) * float64(tasks)
	cpu := e1.CPU - e0.CPU
	out.add("entry CPU us per task", size, 1e6*cpu/max(1, started))
	out.add("tasks per entry core-second", size, started/cpu)
	out.add("tasks/s", size, started/per)
	out.add("entry cores used", size, cpu/per)
	out.add("jobs not complete", size, float64(failed.Load()))
	out.add("payload bytes per task, both ways", size, float64(e1.BytesIn+e1.BytesOut-e0.BytesIn-e0.BytesOut)/max(1, started))
	return nil
}

func jobBody(tasks int) ([]byte, error) {
	type task struct {
		Payload string `json:"payload"`
	}
	list := make([]task, tasks)
	for i := range list {
		list[i].Payload = "0123456789012345678901234567890123456789"
	}
	return json.Marshal(map[string]any{"service": service, "team": "t", "deadline-ms": 10_000, "tasks": list})
}

func submit(url string, body []byte) bool {
	resp, err := http.Post(url+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
