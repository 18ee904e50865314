//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

// caseFlag: the first write of an entry to its record in the store gets no answer and is carried
// out late, after the first stored job has been accepted; then all entries are killed at once.
func caseFlag(ctx context.Context, rec *recorder, dir string, trouble bool) (bool, error) {
	c, err := newCluster(ctx, rec, dir, trouble, table(route("lohu930", "peg-orders")))
	if err != nil {
		return false, err
	}
	defer c.stop()
	const lateBy = 5500 * time.Millisecond
	if trouble {
		first := map[string]bool{}
		c.store.setLate(func(a appendCall) time.Duration {
			// Two writes in all, within the first second: the first of each entry's record.
			for _, name := range []string{"entry-10", "entry-11"} {
				c.store.mu.Lock()
				hit := a.Topic == "keyed.entries" && bytes.Contains(a.Body, []byte(name)) && !first[name]
				if hit {
					first[name] = true
				}
				c.store.mu.Unlock()
				if hit {
					return lateBy
				}
			}
			return 0
		})
	}
	begin := time.Now()
	if err := c.start(2, []string{"peg-orders", "peg-orders"}, 16000); err != nil {
		return false, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	pause(ctx, time.Until(begin.Add(3500*time.Millisecond)))
	short, long := "/lohu930/"+jobID(), "/lohu930/"+jobID()
	if !c.submit(c.entries[0], short, `{"spec":"200","steps":[{"count":4,"cpu":1600,"memMb":64,"estimateMs":200}]}`) ||
		!c.submit(c.entries[0], long, `{"spec":"4000","steps":[{"count":2,"cpu":1600,"memMb":64,"estimateMs":4000},{"count":2,"cpu":1600,"memMb":64,"estimateMs":4000,"dependsOn":[0]}]}`) {
		return false, errNotRun
	}
	accepted := time.Now()
	pause(ctx, time.Until(begin.Add(lateBy+2500*time.Millisecond)))
	for _, path := range []string{short, long} {
		rec.add("GET %s: %s", path, c.call(c.entries[0], http.MethodGet, path, ""))
	}
	if trouble {
		for _, p := range c.entries {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range c.entries {
			c.kill(p)
		}
		pause(ctx, 900*time.Millisecond)
		for _, p := range c.entries {
			if err := c.launch(p); err != nil {
				return false, err
			}
		}
	}
	// In touch again contactMs after the machines are back.
	inTouch := time.Now().Add(3 * time.Second)
	gone, lastState, complete := 0, "", false
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 500*time.Millisecond) {
		for _, p := range c.entries {
			for _, path := range []string{short, long} {
				a := c.call(p, http.MethodGet, path, "")
				late := time.Now().After(inTouch) && time.Since(accepted) > 3*time.Second
				if a.Status == http.StatusGone && late {
					gone++
				}
				if line := fmt.Sprintf("GET %s at %s: %s", path, p.ip, a); line != lastState {
					rec.add("%s", line)
					lastState = line
				}
				complete = complete || path == long && a.State == "complete"
			}
		}
		if complete && gone == 0 {
			break
		}
	}
	rec.add("answers 410 for the two accepted jobs by entries in touch: %d; the longer job was shown as complete: %t", gone, complete)
	return gone > 0 || !complete, nil
}
