//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// tracked is a job of the exploration with what its client knows.
type tracked struct {
	*job
	cancelled time.Time // When the cancelling was acknowledged.
	cancelTry bool
	problems  []string
}

// playExplore plays random disruptions one after the other while stored jobs come, and checks the
// rules for stored jobs. The variable SEED chooses them.
func playExplore(d *deployment, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex
	var downUntil, lostUntil time.Time
	d.store.faults = func(r *http.Request, _ []byte) fault {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case time.Now().Before(downUntil):
			return fault{refuse: true}
		case time.Now().Before(lostUntil) && r.Method == http.MethodPost && rand.Float64() < 0.35:
			return fault{late: time.Second + time.Duration(rand.IntN(5000))*time.Millisecond}
		}
		return fault{}
	}
	if err := smallDeployment(d, 3, 4, "a", "r1-1"); err != nil {
		return nil, err
	}
	for _, w := range d.workers {
		w.failShare = 0.01
	}
	stop := make(chan struct{})
	var jobs []*tracked
	var g sync.WaitGroup
	for range 12 {
		g.Add(1)
		go func() {
			defer g.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				t := &tracked{job: newJob(time.Duration(30+rand.IntN(200))*time.Millisecond, step{Count: 1 + rand.IntN(6), CPU: 1600, MemMb: 64})}
				if rand.IntN(10) == 0 {
					t.Spec = fmt.Sprintf("work %d", 1000+rand.IntN(3000))
				}
				t.Steps = append(t.Steps, step{Count: 1 + rand.IntN(3), CPU: 800, EstimateMs: 100, DependsOn: []int{0}})
				if !d.submit(t.job, 12*time.Second, d.entries...) {
					continue
				}
				mu.Lock()
				jobs = append(jobs, t)
				mu.Unlock()
				if rand.IntN(6) == 0 {
					t.cancelTry = true
					time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
					for range 8 {
						if status, _ := d.call(d.entries[rand.IntN(3)], http.MethodDelete, t.id, nil, clientDeadline); status/100 == 2 || status == 410 {
							t.cancelled = time.Now()
							if status == 410 {
								t.problems = append(t.problems, "LOST: DELETE was answered 410")
							}
							break
						}
						time.Sleep(500 * time.Millisecond)
					}
				}
				if rand.IntN(3) == 0 { // The POST arrives again.
					time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
					d.submit(t.job, time.Second, d.entries...)
				}
				for range 2 {
					at := time.Now()
					status, state := d.state(d.entries[rand.IntN(3)], t.id)
					if status == 410 && !t.cancelTry && at.Sub(t.accepted) > 3*time.Second {
						t.problems = append(t.problems, "LOST: GET was answered 410")
					}
					t.check(d, state)
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(6 * time.Second)
	wait := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
	}
	for begin := time.Now(); trouble && time.Since(begin) < 45*time.Second; {
		e, a := d.entries[rng.IntN(3)], d.agents[rng.IntN(4)]
		w := d.workers[rng.IntN(4)]
		kind := rng.IntN(12)
		d.rec.add("disruption %d", kind)
		switch kind {
		case 0:
			e.kill()
			time.Sleep(wait(100, 3500))
			_ = e.start()
		case 1:
			e.pause(wait(300, 4000))
		case 2:
			e.terminate()
			_ = e.start()
		case 3:
			a.kill()
			time.Sleep(wait(50, 3500))
			_ = a.start()
		case 4:
			a.pause(wait(300, 4000))
		case 5:
			a.terminate()
			_ = a.start()
		case 6:
			mu.Lock()
			downUntil = time.Now().Add(wait(500, 4500))
			mu.Unlock()
		case 7:
			mu.Lock()
			lostUntil = time.Now().Add(4500 * time.Millisecond)
			mu.Unlock()
		case 8:
			d.store.rebalance()
		case 9:
			w.restart(wait(30, 4500), "a", "r1-1")
		case 10:
			w.setFaults(0.055, 0)
			time.Sleep(5500 * time.Millisecond)
			w.setFaults(0, 0)
		case 11:
			w.setFaults(0, 0.3)
			time.Sleep(4 * time.Second)
			w.setFaults(0, 0)
		}
		if rng.IntN(3) > 0 {
			time.Sleep(wait(200, 2500))
		}
	}
	close(stop)
	g.Wait()
	time.Sleep(18 * time.Second)
	broken := d.rec.twice()
	for _, t := range jobs {
		status, state := d.state(d.entries[rand.IntN(3)], t.id)
		t.check(d, state)
		switch {
		case state == "complete", state == "canceled" && t.cancelTry:
		case state == "failed" && t.failedRuns(d) >= 3:
		default:
			t.problems = append(t.problems, fmt.Sprintf("LOST: at the end it is %d %q, cancelled: %t", status, state, t.cancelTry))
		}
		t.checkRuns(d)
		for _, text := range t.problems {
			broken = append(broken, t.id+": "+text)
		}
	}
	d.rec.add("%d jobs", len(jobs))
	fmt.Println("seed", seed, len(jobs), "jobs")
	return broken, nil
}

func (t *tracked) check(d *deployment, state string) {
	if state != "complete" {
		return
	}
	for s, st := range t.Steps {
		for i := range st.Count {
			done := false
			for _, r := range d.rec.runsOf(taskName(t.id, s, i)) {
				done = done || r.how == "done"
			}
			if !done {
				t.problems = append(t.problems, "MIXED: complete without "+taskName(t.id, s, i))
			}
		}
	}
}

func (t *tracked) failedRuns(d *deployment) int {
	most := 0
	for s, st := range t.Steps {
		for i := range st.Count {
			n := 0
			for _, r := range d.rec.runsOf(taskName(t.id, s, i)) {
				if r.how == "failed" {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

func (t *tracked) checkRuns(d *deployment) {
	var firstDone time.Time // When the last task of the first step was done first.
	for i := range t.Steps[0].Count {
		var done time.Time
		for _, r := range d.rec.runsOf(taskName(t.id, 0, i)) {
			if r.how == "done" && (done.IsZero() || r.ended.Before(done)) {
				done = r.ended
			}
			if !t.cancelled.IsZero() && r.begun.Sub(t.cancelled) > 3*time.Second {
				t.problems = append(t.problems, "UNASKED: a task started over 3 s after the cancelling")
			}
		}
		if done.IsZero() {
			firstDone = time.Now()
		} else if done.After(firstDone) {
			firstDone = done
		}
	}
	for i := range t.Steps[1].Count {
		for _, r := range d.rec.runsOf(taskName(t.id, 1, i)) {
			if r.begun.Before(firstDone) {
				t.problems = append(t.problems, "ORDER: the second step began early")
			}
			if !t.cancelled.IsZero() && r.begun.Sub(t.cancelled) > 3*time.Second {
				t.problems = append(t.problems, "UNASKED: a task started over 3 s after the cancelling")
			}
		}
	}
}

// pause stops the process for a while.
func (p *process) pause(d time.Duration) {
	p.d.rec.add("%s is stopped for %v", p.name, d)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.d.rec.add("%s continues", p.name)
}

// terminate sends SIGTERM and waits for the end, or kills the process after graceS.
func (p *process) terminate() {
	p.d.rec.add("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		p.kill()
	}
}
