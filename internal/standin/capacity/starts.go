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
	// concurrentClients is the number of clients that submit one job after the other.
	concurrentClients = 6
	// submitWindow is the time during which they submit jobs.
	submitWindow = 3 * time.Second
)

// measureStarts measures the processor time that the entry uses per task, from the
// caller's HTTP request to the response, with bare agents that answer at once.
func measureStarts() error {
	out := newSeries()
	for range repetitions {
		for _, n := range sessionSizes {
			if err := runStarts(out, n, 100, n); err != nil {
				return err
			}
		}
	}
	out.print("whole entry, jobs of 100 tasks; sizes are agents", designAgents)
	jobs := newSeries()
	for range repetitions {
		for _, tasks := range []int{10, 100, 400, 1200} {
			if err := runStarts(jobs, 1000, tasks, tasks); err != nil {
				return err
			}
		}
	}
	jobs.print("whole entry, 1,000 agents; sizes are tasks of a job", 1200)
	return nil
}

// runStarts submits jobs of tasksPerJob tasks to an entry with agentCount bare agents and
// adds the results under the given size.
func runStarts(out *series, agentCount, tasksPerJob, size int) error {
	tb, err := startTestbed()
	if err != nil {
		return err
	}
	defer tb.stop()
	agents, err := startChild("bare", fmt.Sprint(agentCount), tb.entry.url)
	if err != nil {
		return err
	}
	defer agents.stop()
	if _, err := tb.entry.waitFor("connections", func(s sample) bool { return s.Connected >= int64(agentCount) }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	body, err := jobBody(tasksPerJob)
	if err != nil {
		return err
	}
	entryBefore, err := tb.entry.sample()
	if err != nil {
		return err
	}
	start := time.Now()
	var jobsCompleted, jobsFailed atomic.Int64
	var wg sync.WaitGroup
	for range concurrentClients {
		wg.Go(func() {
			for time.Since(start) < submitWindow {
				if submit(tb.entry.url, body) {
					jobsCompleted.Add(1)
				} else {
					jobsFailed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	entryAfter, err := tb.entry.sample()
	if err != nil {
		return err
	}
	tasksCompleted := float64(jobsCompleted.Load()) * float64(tasksPerJob)
	cpu := entryAfter.CPU - entryBefore.CPU
	out.add("entry CPU us per task", size, 1e6*cpu/max(1, tasksCompleted))
	out.add("tasks per entry core-second", size, tasksCompleted/cpu)
	out.add("tasks/s", size, tasksCompleted/seconds)
	out.add("entry cores used", size, cpu/seconds)
	out.add("jobs not complete", size, float64(jobsFailed.Load()))
	out.add("payload bytes per task, both ways", size, float64(entryAfter.BytesIn+entryAfter.BytesOut-entryBefore.BytesIn-entryBefore.BytesOut)/max(1, tasksCompleted))
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

// submit sends a job and reports whether it was completed.
func submit(url string, body []byte) bool {
	resp, err := http.Post(url+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
