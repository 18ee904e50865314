//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// caseHang: a worker leaves half of the orders unanswered for some seconds and carries them out
// late, while a large job of small tasks runs.
func caseHang(ctx context.Context, rec *recorder, dir string, trouble bool) (bool, error) {
	c, err := newCluster(ctx, rec, dir, trouble, table(route("lohu930", "peg-orders")))
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.start(2, []string{"peg-orders", "peg-orders"}, 16000); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	pause(ctx, time.Second)
	warm := "/lohu930/" + jobID()
	if !c.submit(c.entries[0], warm, `{"spec":"100","steps":[{"count":20,"cpu":1600,"memMb":64,"estimateMs":100}]}`) || !c.awaitState(warm, "complete", 15*time.Second) {
		return false, errNotRun
	}
	pause(ctx, 2*time.Second)
	late := func() time.Duration { return 2*time.Second + time.Duration(rand.IntN(10000))*time.Millisecond }
	if trouble {
		for _, w := range c.workers {
			w.mu.Lock()
			w.unanswered, w.lateBy = 0.5, late
			w.mu.Unlock()
		}
		rec.add("the workers leave half of the start orders unanswered and carry them out 2 to 12 s later")
	}
	path := "/lohu930/" + jobID()
	if !c.submit(c.entries[0], path, `{"spec":"200","steps":[{"count":1200,"cpu":100,"memMb":16,"estimateMs":200}]}`) {
		return false, errNotRun
	}
	pause(ctx, 6*time.Second)
	for _, w := range c.workers {
		w.mu.Lock()
		rec.add("%s: %d start calls so far, %d left unanswered", w.id, w.calls, w.left)
		w.unanswered = 0
		w.mu.Unlock()
	}
	rec.add("the workers answer all orders again")
	// The late orders are carried out within 12 s. Then 14 s (finish_s) more are left.
	healed := time.Now()
	complete := c.awaitState(path, "complete", 40*time.Second)
	rec.add("the job was shown as complete: %t, %v after the end of the disruption", complete, time.Since(healed).Round(time.Millisecond))
	hung := 0
	for i, w := range c.workers {
		w.mu.Lock()
		silent := time.Since(w.lastAck)
		w.mu.Unlock()
		rec.add("%s: the last acknowledged heartbeat was %v ago; process of its agent ended: %t", w.id, silent.Round(time.Millisecond), c.ended(c.agents[i]))
		if silent > 10*time.Second {
			hung++
		}
	}
	a := c.call(c.entries[0], http.MethodGet, path, "")
	rec.add("GET %s: %s", path, a)
	fmt.Printf("complete %t, agents that no longer answer: %d\n", complete, hung)
	return hung > 0 || !complete, nil
}
