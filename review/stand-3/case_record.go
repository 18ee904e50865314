//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// caseRecord: a job of legal size that can never be done has a record larger than the store takes.
func caseRecord(ctx context.Context, rec *recorder, dir string, trouble bool) (bool, error) {
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
	var paths []string
	for range 12 {
		path := "/lohu930/" + jobID()
		if !c.submit(c.entries[0], path, `{"spec":"500","steps":[{"count":2,"cpu":1600,"memMb":64,"estimateMs":500},{"count":2,"cpu":1600,"memMb":64,"estimateMs":500,"dependsOn":[0]},{"count":2,"cpu":1600,"memMb":64,"estimateMs":500,"dependsOn":[1]}]}`) {
			return false, errNotRun
		}
		paths = append(paths, path)
	}
	const head, tail = `{"spec":"100","steps":[{"count":1,"cpu":1600,"memMb":64,"estimateMs":100,"constraints":"`, `"}]}`
	label := "no-such-label"
	if trouble {
		label = strings.Repeat("x", 262144-len(head)-len(tail))
	}
	big := "/lohu930/" + jobID()
	a := c.call(c.entries[0], http.MethodPost, big, head+label+tail)
	rec.add("POST %s to %s: %s: a body of %d bytes, the limit is 262144", big, c.entries[0].ip, a, len(head)+len(label)+len(tail))
	incomplete := 0
	for _, path := range paths {
		if !c.awaitState(path, "complete", 20*time.Second) {
			incomplete++
			rec.add("GET %s: %s; it was accepted before", path, c.call(c.entries[0], http.MethodGet, path, ""))
		}
		if incomplete == 2 {
			break
		}
	}
	refused := 0
	for range 12 {
		path := "/lohu930/" + jobID()
		b := c.callWithin(c.entries[1], http.MethodPost, path, `{"spec":"100","steps":[{"count":1,"cpu":1600,"memMb":64,"estimateMs":100}]}`, clientDeadline)
		if b.Status != http.StatusOK {
			refused++
			rec.add("POST %s of a small job: %s", path, b)
		}
	}
	fmt.Printf("accepted jobs that do not end: %d; small jobs not accepted afterwards: %d of 12\n", incomplete, refused)
	rec.add("accepted jobs that do not end: %d; small jobs not accepted afterwards: %d of 12", incomplete, refused)
	return incomplete > 0, nil
}
