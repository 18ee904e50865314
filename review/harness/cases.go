//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// smallDeployment adds and starts entries, and workers with 16 cores.
func smallDeployment(d *deployment, entries, workers int, labels ...string) error {
	for range entries {
		d.addEntry()
	}
	for range workers {
		if _, _, err := d.addWorker(16000, labels...); err != nil {
			return err
		}
	}
	if err := startAll(append(append([]*process{}, d.entries...), d.agents...)...); err != nil {
		return err
	}
	return d.awaitReady(d.entries...)
}

// submitAll hands in jobs from several clients at once. It returns those that were accepted.
func submitAll(d *deployment, jobs []*job, clients int, giveUp time.Duration, entries ...*process) []*job {
	var accepted []*job
	var mu sync.Mutex
	var g sync.WaitGroup
	next := make(chan *job)
	for range clients {
		g.Add(1)
		go func() {
			defer g.Done()
			for j := range next {
				if d.submit(j, giveUp, entries...) {
					mu.Lock()
					accepted = append(accepted, j)
					mu.Unlock()
				}
			}
		}()
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	g.Wait()
	return accepted
}

// awaitComplete waits until the jobs are complete, and returns how many are not.
func awaitComplete(d *deployment, jobs []*job, wait time.Duration, e *process) int {
	until := time.Now().Add(wait)
	left := jobs
	for {
		var open []*job
		for _, j := range left {
			if _, state := d.state(e, j.id); state != "complete" {
				open = append(open, j)
			}
		}
		left = open
		if len(left) == 0 || time.Now().After(until) {
			return len(left)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// playStoreOutage lets the store be down for 1.4 s while stored jobs run. No owner loses its
// membership by that, and no lease lapses.
func playStoreOutage(d *deployment, trouble bool) ([]string, error) {
	const outage = 1400 * time.Millisecond
	var down atomic.Bool
	d.store.faults = func(*http.Request, []byte) fault { return fault{refuse: down.Load()} }
	if err := smallDeployment(d, 2, 2, "a", "r1-1"); err != nil {
		return nil, err
	}
	// The first stored job makes the entries join their group.
	if first := newJob(50*time.Millisecond, step{Count: 1, CPU: 250}); !d.submit(first, 10*time.Second, d.entries...) {
		return nil, errNotPlayed
	}
	time.Sleep(5 * time.Second)
	var jobs []*job
	for range 160 {
		jobs = append(jobs, newJob(50*time.Millisecond, step{Count: 60, CPU: 250, MemMb: 64}))
	}
	accepted := submitAll(d, jobs, 40, 10*time.Second, d.entries...)
	d.rec.add("%d jobs are accepted", len(accepted))
	if trouble {
		down.Store(true)
		d.rec.add("the store is down")
		time.Sleep(outage)
		down.Store(false)
		d.rec.add("the store is back after %v; the workers keep %d and %d ends", outage, d.workers[0].unseen(), d.workers[1].unseen())
	}
	left := awaitComplete(d, accepted, 40*time.Second, d.entries[0])
	d.rec.add("%d jobs are not complete", left)
	time.Sleep(time.Second)
	return d.rec.twice(), nil
}

// playAddedEntries adds four entries to eight. One worker has a label that no other has.
func playAddedEntries(d *deployment, trouble bool) ([]string, error) {
	const (
		first, added = 8, 4
		workers      = 29
	)
	for range first {
		d.addEntry()
	}
	for range workers {
		if _, _, err := d.addWorker(16000, "a", "r1-1"); err != nil {
			return nil, err
		}
	}
	_, rare, err := d.addWorker(16000, "b", "r1-2")
	if err != nil {
		return nil, err
	}
	if err := startAll(append(append([]*process{}, d.entries...), d.agents...)...); err != nil {
		return nil, err
	}
	if err := d.awaitReady(d.entries...); err != nil {
		return nil, err
	}
	newJobs := func(n int) []*job {
		var jobs []*job
		for range n {
			jobs = append(jobs, newJob(100*time.Millisecond, step{Count: 2, CPU: 1000, MemMb: 64, Constraints: "b"}))
		}
		return jobs
	}
	before := submitAll(d, newJobs(40), 4, 10*time.Second, d.entries...)
	if left := awaitComplete(d, before, 15*time.Second, d.entries[0]); len(before) == 0 || left > 0 {
		return nil, fmt.Errorf("%w: %d of %d jobs were not complete before any disruption", errNotPlayed, left, len(before))
	}
	if trouble {
		var more []*process
		for range added {
			more = append(more, d.addEntry())
		}
		d.rec.add("%d entries are added", added)
		if err := startAll(more...); err != nil {
			return nil, err
		}
		if err := d.awaitReady(more...); err != nil {
			return nil, err
		}
	}
	time.Sleep(15 * time.Second)
	d.rec.add("15 s without any disruption have passed")
	accepted := submitAll(d, newJobs(60), 4, 10*time.Second, d.entries...)
	d.rec.add("%d jobs are accepted; the traffic ends", len(accepted))
	// finish_s is 14. The worker with the label has 16 cores, a task needs one.
	time.Sleep(20 * time.Second)
	var broken []string
	for _, j := range accepted {
		status, state := d.state(d.entries[0], j.id)
		if state == "complete" {
			continue
		}
		broken = append(broken, fmt.Sprintf("job %s was accepted %.0f s ago and is %d %q; a task of it has begun: %t; the worker with its label runs %d tasks",
			j.id, time.Since(j.accepted).Seconds(), status, state, d.rec.begun(j.id, 2), rare.busy()))
	}
	return broken, nil
}

// playLateRecord lets the store lose the answer to one write of an entry and carry it out 4 s
// later, and then has all processes killed once.
func playLateRecord(d *deployment, trouble bool) ([]string, error) {
	var lost atomic.Bool
	var firstEntry string
	d.store.faults = func(r *http.Request, body []byte) fault {
		isRecord := r.URL.Path == "/gypsumtide/log-append" && r.URL.Query().Get("topic") == "keyed.entries"
		if trouble && isRecord && bytes.Contains(body, []byte(firstEntry)) && !lost.Swap(true) {
			return fault{late: 4 * time.Second}
		}
		return fault{}
	}
	firstEntry = "edge-" + zone + "-1"
	if err := smallDeployment(d, 2, 2, "a", "r1-1"); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	var jobs []*job
	for range 30 {
		jobs = append(jobs, newJob(50*time.Millisecond, step{Count: 4, CPU: 1600, MemMb: 64}))
	}
	accepted := submitAll(d, jobs, 4, 10*time.Second, d.entries[0])
	if left := awaitComplete(d, accepted, 10*time.Second, d.entries[1]); len(accepted) == 0 || left > 0 {
		return nil, fmt.Errorf("%w: %d of %d jobs were not complete", errNotPlayed, left, len(accepted))
	}
	// These are still at work when the processes are killed.
	var long []*job
	for range 10 {
		long = append(long, newJob(8*time.Second, step{Count: 2, CPU: 1600, MemMb: 64}))
	}
	accepted = append(accepted, submitAll(d, long, 4, 10*time.Second, d.entries...)...)
	time.Sleep(4 * time.Second)
	if trouble || mode() == "kill" {
		d.rec.add("all processes are killed")
		all := append(append([]*process{}, d.entries...), d.agents...)
		killAll(all...)
		time.Sleep(time.Second)
		if err := startAll(all...); err != nil {
			return nil, err
		}
		if err := d.awaitReady(d.entries...); err != nil {
			return nil, err
		}
	}
	// recoveryS is 12, finish_s is 14.
	time.Sleep(30 * time.Second)
	var broken []string
	for _, j := range accepted {
		for _, e := range d.entries {
			if status, state := d.state(e, j.id); state != "complete" {
				broken = append(broken, fmt.Sprintf("job %s was accepted %.0f s ago; %s answers %d %q; its first task has run %d times",
					j.id, time.Since(j.accepted).Seconds(), e.name, status, state, len(d.rec.runsOf(taskName(j.id, 0, 0)))))
			}
		}
	}
	return broken, nil
}

// playQueueCount kills two of three entries while many stored jobs wait for capacity, and asks
// the third for their number.
func playQueueCount(d *deployment, trouble bool) ([]string, error) {
	if err := smallDeployment(d, 3, 2, "a", "r1-1"); err != nil {
		return nil, err
	}
	var jobs []*job
	for range 240 {
		jobs = append(jobs, newJob(3*time.Second, step{Count: 1, CPU: 1600, MemMb: 64}))
	}
	accepted := submitAll(d, jobs, 8, 20*time.Second, d.entries...)
	// visible_ms + 2 s is 5 s.
	time.Sleep(6 * time.Second)
	survivor := d.entries[2]
	d.rec.add("%d jobs are accepted", len(accepted))
	waiting := func() int {
		n := 0
		for _, j := range accepted {
			if time.Since(j.accepted) > 5*time.Second && !d.rec.begun(j.id, 1) {
				n++
			}
		}
		return n
	}
	if trouble {
		killAll(d.entries[0], d.entries[1])
		go func() {
			time.Sleep(3500 * time.Millisecond)
			_ = startAll(d.entries[0], d.entries[1]) // The entries that are left suffice.
		}()
	}
	var broken []string
	for begin := time.Now(); time.Since(begin) < 8*time.Second; time.Sleep(50 * time.Millisecond) {
		queued := d.queued(survivor)
		// Counted after the answer, so that it can only be lower than it was then.
		if n := waiting(); queued >= 0 && 2*queued < n {
			broken = append(broken, fmt.Sprintf("%.2f s after the kill %s says that %d jobs are queued; %d that were accepted over 5 s before had not begun",
				time.Since(begin).Seconds(), survivor.name, queued, n))
		}
	}
	return broken, nil
}

// playOtherKind lets a worker crash and start again at once as a worker of another kind.
func playOtherKind(d *deployment, trouble bool) ([]string, error) {
	if err := smallDeployment(d, 2, 1, "a", "r1-1"); err != nil {
		return nil, err
	}
	if _, _, err := d.addWorker(16000, "b", "r1-1"); err != nil {
		return nil, err
	}
	if err := d.agents[1].start(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	for range 30 {
		jobs = append(jobs, newJob(4*time.Second, step{Count: 1, CPU: 1600, MemMb: 64, Constraints: "a"}))
	}
	accepted := submitAll(d, jobs, 8, 10*time.Second, d.entries...)
	d.rec.add("%d jobs are accepted", len(accepted))
	time.Sleep(2 * time.Second)
	if trouble {
		d.workers[0].restart(100*time.Millisecond, "b", "r1-1")
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for _, j := range accepted {
		for _, r := range d.rec.runsOf(taskName(j.id, 0, 0)) {
			if r.labels[0] != "a" {
				broken = append(broken, fmt.Sprintf("task %s needs the label a; run %d started on %s with the labels %v", taskName(j.id, 0, 0), r.run, r.worker, r.labels))
			}
		}
	}
	return broken, nil
}

// playLargeJobs hands in 80 large jobs at once, and lets the store be down for 1.4 s. Without
// the trouble, the jobs come at two a second and the store is up.
func playLargeJobs(d *deployment, trouble bool) ([]string, error) {
	const outage = 1400 * time.Millisecond
	var down atomic.Bool
	d.store.faults = func(*http.Request, []byte) fault { return fault{refuse: down.Load()} }
	if err := smallDeployment(d, 2, 2, "a", "r1-1"); err != nil {
		return nil, err
	}
	if first := newJob(50*time.Millisecond, step{Count: 1, CPU: 250}); !d.submit(first, 10*time.Second, d.entries...) {
		return nil, errNotPlayed
	}
	time.Sleep(5 * time.Second)
	var jobs []*job
	for range 80 {
		takes := time.Duration(100+rand.IntN(1400)) * time.Millisecond
		jobs = append(jobs, newJob(takes, step{Count: 300, CPU: 5, MemMb: 16}))
	}
	var accepted []*job
	if trouble {
		accepted = submitAll(d, jobs, 24, 10*time.Second, d.entries...)
		time.Sleep(300 * time.Millisecond)
		down.Store(true)
		d.rec.add("the store is down")
		time.Sleep(outage)
		down.Store(false)
		d.rec.add("the store is back")
	} else {
		for _, j := range jobs {
			accepted = append(accepted, submitAll(d, []*job{j}, 1, 10*time.Second, d.entries...)...)
			time.Sleep(500 * time.Millisecond)
		}
	}
	d.rec.add("%d jobs are accepted; the traffic ends", len(accepted))
	// finish_s is 14. Then 3 s are observed, in which the workers must not be half full.
	time.Sleep(28 * time.Second)
	const half = 3200 // Tasks of 5 thousandths of a core on 32 cores.
	observed, used := time.Now(), 0
	for time.Since(observed) < 3*time.Second {
		used = max(used, d.workers[0].busy()+d.workers[1].busy())
		time.Sleep(20 * time.Millisecond)
	}
	for _, w := range d.workers {
		d.rec.add("worker %s runs %d tasks; its last acknowledged heartbeat was sent %.1f s ago", w.id, w.busy(), w.sinceAck().Seconds())
	}
	d.rec.add("in the last 3 s at most %d tasks ran at a time", used)
	var broken []string
	for _, j := range accepted {
		if used >= half || d.rec.ranSince(j, observed) || d.rec.done(j) == j.Steps[0].Count {
			continue
		}
		if status, state := d.state(d.entries[0], j.id); state != "complete" {
			broken = append(broken, fmt.Sprintf("job %s was accepted %.0f s ago and is %d %q; %d of its %d tasks are done, none has run for 3 s, and the workers ran at most %d tasks",
				j.id, time.Since(j.accepted).Seconds(), status, state, d.rec.done(j), j.Steps[0].Count, used))
		}
	}
	// Jobs that are only late by much are no case: an agent has to hang.
	var hung []string
	for i, w := range d.workers {
		if len(broken) > 0 && w.sinceAck() > 5*time.Second {
			hung = append(hung, fmt.Sprintf("the agent %s hangs: it has not acknowledged a heartbeat of its worker for %.0f s", d.agents[i].name, w.sinceAck().Seconds()))
			d.agents[i].dump()
		}
	}
	if len(hung) == 0 {
		d.rec.add("%d jobs are not complete and do not run, but no agent hangs", len(broken))
		return nil, nil
	}
	return append(hung, broken...), nil
}

// playInstantRestart lets a worker crash and start again at once under the same id, while short
// stored tasks run.
func playInstantRestart(d *deployment, trouble bool) ([]string, error) {
	if err := smallDeployment(d, 2, 2, "a", "r1-1"); err != nil {
		return nil, err
	}
	if first := newJob(50*time.Millisecond, step{Count: 1, CPU: 250}); !d.submit(first, 10*time.Second, d.entries...) {
		return nil, errNotPlayed
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var g sync.WaitGroup
	var mu sync.Mutex
	var accepted []*job
	for range 4 {
		g.Add(1)
		go func() {
			defer g.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				j := newJob(30*time.Millisecond, step{Count: 8, CPU: 1600, MemMb: 64})
				if d.submit(j, 5*time.Second, d.entries...) {
					mu.Lock()
					accepted = append(accepted, j)
					mu.Unlock()
				}
			}
		}()
	}
	for range 5 {
		time.Sleep(2 * time.Second)
		if trouble {
			d.workers[0].restart(10*time.Millisecond, "a", "r1-1")
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	g.Wait()
	left := awaitComplete(d, accepted, 20*time.Second, d.entries[0])
	d.rec.add("%d jobs are accepted, %d are not complete", len(accepted), left)
	return d.rec.twice(), nil
}

// playFrozenAgent replaces workers one after the other by new lives under the same ids, each while
// its agent stands still. Each worker has a label of its own.
func playFrozenAgent(d *deployment, trouble bool) ([]string, error) {
	const (
		replaced = 5
		freeze   = 4 * time.Second
	)
	for range 2 {
		d.addEntry()
	}
	for n := range replaced {
		if _, _, err := d.addWorker(16000, fmt.Sprintf("k%d", n), "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := startAll(append(append([]*process{}, d.entries...), d.agents...)...); err != nil {
		return nil, err
	}
	if err := d.awaitReady(d.entries...); err != nil {
		return nil, err
	}
	var jobs []*job
	for n := range replaced {
		for range 3 {
			jobs = append(jobs, newJob(50*time.Millisecond, step{Count: 2, CPU: 1600, MemMb: 64, Constraints: fmt.Sprintf("k%d", n)}))
		}
	}
	before := submitAll(d, jobs, 4, 10*time.Second, d.entries...)
	if left := awaitComplete(d, before, 15*time.Second, d.entries[0]); len(before) < len(jobs) || left > 0 {
		return nil, fmt.Errorf("%w: %d of %d jobs were not complete before any disruption", errNotPlayed, left, len(before))
	}
	for n, w := range d.workers {
		w.drain()
		time.Sleep(2200 * time.Millisecond) // drainMs is 2,000.
		var g sync.WaitGroup
		if trouble {
			g.Add(1)
			go func() { defer g.Done(); d.agents[n].pause(freeze) }()
			time.Sleep(200 * time.Millisecond)
		}
		w.replace()
		g.Wait()
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second)
	jobs = nil
	for n := range replaced {
		for range 3 {
			jobs = append(jobs, newJob(50*time.Millisecond, step{Count: 2, CPU: 1600, MemMb: 64, Constraints: fmt.Sprintf("k%d", n)}))
		}
	}
	accepted := submitAll(d, jobs, 4, 10*time.Second, d.entries...)
	d.rec.add("%d jobs are accepted; the traffic ends", len(accepted))
	time.Sleep(20 * time.Second)
	var broken []string
	for _, j := range accepted {
		status, state := d.state(d.entries[0], j.id)
		if state == "complete" {
			continue
		}
		var n int
		_, _ = fmt.Sscanf(j.Steps[0].Constraints, "k%d", &n)
		broken = append(broken, fmt.Sprintf("job %s was accepted %.0f s ago and is %d %q; a task of it has begun: %t; worker %s, which has its label, is ready and idle, and its heartbeat was acknowledged %.1f s ago",
			j.id, time.Since(j.accepted).Seconds(), status, state, d.rec.begun(j.id, 2), d.workers[n].id, d.workers[n].sinceAck().Seconds()))
	}
	return broken, nil
}
