//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// caseQueued: the owner of waiting jobs is killed, and another entry is asked for their number.
func caseQueued(ctx context.Context, rec *recorder, dir string, trouble bool) (bool, error) {
	const queues = 8
	var routes []map[string]any
	for i := range queues {
		routes = append(routes, route(fmt.Sprintf("q%d", i), "peg-orders"))
	}
	c, err := newCluster(ctx, rec, dir, trouble, table(routes...))
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.start(2, []string{"peg-orders"}, 16000); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	pause(ctx, time.Second)
	warm := "/q0/" + jobID()
	if !c.submit(c.entries[0], warm, `{"spec":"100","steps":[{"count":2,"cpu":1600,"memMb":64,"estimateMs":100}]}`) || !c.awaitState(warm, "complete", 15*time.Second) {
		return false, errNotRun
	}
	pause(ctx, 5*time.Second) // Both entries have joined.
	for i := range queues {
		if !c.submit(c.entries[0], fmt.Sprintf("/q%d/%s", i, jobID()), `{"spec":"100","steps":[{"count":1,"cpu":1600,"memMb":64,"estimateMs":100,"constraints":"b"}]}`) {
			return false, errNotRun
		}
	}
	pause(ctx, 6*time.Second) // visible_ms + 2 s have passed for all jobs.
	wrong := 0
	ask := func(p *process, limit time.Duration, from time.Time) {
		last := ""
		for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
			line, zero := "", 0
			for i := range queues {
				a := c.call(p, http.MethodGet, fmt.Sprintf("/q%d/", i), "")
				line += fmt.Sprintf(" %d:%d", a.Status, a.Queued)
				if a.Status == http.StatusOK && a.Queued == 0 {
					zero++
				}
			}
			if time.Now().After(from) {
				wrong += zero
			}
			if line != last {
				rec.add("queuedJobs at %s of the queues with one job each that waits:%s", p.ip, line)
				last = line
			}
		}
	}
	ask(c.entries[1], time.Second, time.Now())
	for round := range 3 {
		victim, other := c.entries[round%2], c.entries[1-round%2]
		if trouble {
			c.kill(victim)
			// The value may be 2 s old.
			ask(other, 3500*time.Millisecond, time.Now().Add(2*time.Second))
			if err := c.launch(victim); err != nil {
				return false, err
			}
		}
		ask(other, 12*time.Second, time.Now())
	}
	fmt.Println("answers with 0 for a queue with a job that waits:", wrong)
	rec.add("answers with 0 for a queue with a job that waits: %d", wrong)
	return wrong > 0, nil
}
