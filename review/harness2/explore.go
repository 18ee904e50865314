//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = testCase{entries: 3, agents: 4, run: runExplore} }

// exJob is a job of the exploration, as its caller saw it.
type exJob struct {
	storedJob
	accepted   time.Time
	cancelled  time.Time
	refusedAll bool
	ephemeral  bool
	anti       int
	statuses   []int
	done       bool
}

// runExplore plays random faults, chosen by SEED and limited to the kinds in ONLY, against
// callers of stored and of ephemeral jobs, and checks several rules. It is no case.
func runExplore(s *System, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	only := os.Getenv("ONLY")
	rnd := rand.New(rand.NewPCG(seed, 1))
	s.ownStoreIPs = true
	workers := make([]WorkerConfig, 4)
	for i := range workers {
		workers[i] = WorkerConfig{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Labels: []string{[]string{"a", "b"}[i%2], fmt.Sprintf("r1-%d", i+1)}, CPU: 16000, MemoryMB: 65536}
	}
	if err := s.startAll(route("orders", "orders", 3), workers); err != nil {
		return err
	}
	if err := s.settle("orders"); err != nil {
		return err
	}
	var mu sync.Mutex
	var jobs []*exJob
	var wg sync.WaitGroup
	stop := time.Now().Add(40 * time.Second)
	var next uint64 = 0x10000
	client := func(c int, ephemeral bool) {
		defer wg.Done()
		for time.Now().Before(stop) {
			mu.Lock()
			next++
			id := fmt.Sprintf("%016x", next)
			count, ms, cpu := 1+rnd.IntN(8), int64(30+rnd.IntN(400)), int64(400+rnd.IntN(2000))
			steps := 1
			if !ephemeral && rnd.IntN(3) == 0 {
				steps = 2
			}
			cancel := !ephemeral && rnd.IntN(8) == 0
			e0 := rnd.IntN(3)
			pause := time.Duration(rnd.IntN(100)) * time.Millisecond
			mu.Unlock()
			j := &exJob{ephemeral: ephemeral}
			j.id, j.path, j.tasks, j.cpu = id, "/orders/"+id, count*steps, cpu
			var st []step
			mu.Lock()
			c2 := []string{"", "", "a", "b"}[rnd.IntN(4)]
			j.anti = []int{0, 0, 0, 1, 3}[rnd.IntN(5)]
			mu.Unlock()
			j.constraint = c2
			for range steps {
				st = append(st, step{count: count, cpu: cpu, ms: ms, constraint: c2})
			}
			body := jobBody(ephemeral, st...)
			if j.anti > 0 {
				body = strings.ReplaceAll(body, `"memMb":64`, fmt.Sprintf(`"memMb":64,"antiAffinity":%d`, j.anti))
			}
			ok := false
			for a := 0; a < 12; a++ {
				p := s.entries[(e0+a)%3]
				status, text := s.call(p, http.MethodPost, j.path, body, 1500*time.Millisecond)
				s.rec.Log("client: POST %s at %s -> %d %s", j.path, p.name, status, text)
				j.statuses = append(j.statuses, status)
				if status == 200 {
					ok = true
					if ephemeral && strings.Contains(text, "complete") {
						j.done = true
					}
					break
				}
				if status == 503 || ephemeral && a > 2 {
					break
				}
				time.Sleep(1300 * time.Millisecond)
			}
			j.refusedAll = true
			for _, x := range j.statuses {
				if x != 503 && x != 429 {
					j.refusedAll = false
				}
			}
			if ok {
				j.accepted = time.Now()
			}
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			if ok && cancel {
				time.Sleep(200 * time.Millisecond)
				for a := 0; a < 6; a++ {
					status, text := s.call(s.entries[(e0+a)%3], http.MethodDelete, j.path, "", 1500*time.Millisecond)
					s.rec.Log("client: DELETE %s -> %d %s", j.path, status, text)
					if status == 200 || status == 410 {
						mu.Lock()
						j.cancelled = time.Now()
						mu.Unlock()
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
			if ok && !ephemeral {
				status, text := s.call(s.entries[(e0+1)%3], http.MethodGet, j.path, "", 1500*time.Millisecond)
				s.rec.Log("client: GET %s -> %d %s", j.path, status, text)
				if status == 410 {
					s.rec.Violation("LOST: GET %s is answered 410", j.path)
				}
			}
			if !ephemeral {
				pause = 6*pause + 300*time.Millisecond
			}
			time.Sleep(pause)
		}
	}
	for c := range 14 {
		wg.Add(1)
		go client(c, c%3 == 0)
	}
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			frnd := rand.New(rand.NewPCG(seed, 2))
			kinds := strings.Split("entry-kill,entry-stop,entry-term,agent-kill,agent-stop,agent-term,worker-crash,worker-lose,worker-late,worker-fail,store-down,store-partial,store-lost,store-late,store-slow,nodes,rebalance,all-kill,config,partial-silent,worker-drain", ",")
			if only != "" {
				kinds = strings.Split(only, ",")
			}
			var fw sync.WaitGroup
			for time.Now().Before(stop.Add(-8 * time.Second)) {
				k := kinds[frnd.IntN(len(kinds))]
				n, x, y := frnd.IntN(4), frnd.IntN(3), time.Duration(300+frnd.IntN(5000))*time.Millisecond
				how := []string{"busy", "silent", "reset", "many"}[frnd.IntN(4)]
				s.rec.Log("FAULT %s %d %d %v %s", k, n, x, y, how)
				fw.Add(1)
				go func() {
					defer fw.Done()
					s.fault(k, n, x, y, how)
				}()
				time.Sleep(time.Duration(500+frnd.IntN(4000)) * time.Millisecond)
			}
			fw.Wait()
			s.store.SetFaults(StoreFaults{})
			s.store.SetRefused(nil)
		}()
	}
	wg.Wait()
	s.rec.Log("traffic and faults have ended")
	time.Sleep(16 * time.Second)
	checkTwiceKinds(s.rec, jobs)
	for n, j := range jobs {
		if j.ephemeral || j.accepted.IsZero() {
			continue
		}
		status, text := s.call(s.entries[n%3], http.MethodGet, j.path, "", 1500*time.Millisecond)
		switch {
		case status == 410:
			s.rec.Violation("LOST: GET %s is answered 410 at the end", j.path)
		case status != 200:
			s.rec.Violation("LOST: GET %s gives %d %s at the end", j.path, status, text)
		case j.cancelled.IsZero() && !strings.Contains(text, "complete"):
			s.rec.Violation("LOST?: GET %s gives %s at the end", j.path, text)
		}
	}
	return nil
}

// checkTwiceKinds applies TWICE, REFUSED, UNASKED, ROUTE, BUDGET and MIXED to what was seen.
func checkTwiceKinds(r *Record, jobs []*exJob) {
	byID := make(map[string]*exJob)
	for _, j := range jobs {
		byID[j.id] = j
	}
	doneTasks := make(map[string]int)
	all := r.Runs()
	for _, j := range jobs {
		if j.anti == 0 {
			continue
		}
		for st := range 2 {
			var runs []runRecord
			for i := range 8 {
				runs = append(runs, all[fmt.Sprintf("%s.0.%d.%d", j.id, st, i)]...)
			}
			for _, a := range runs {
				n := 0
				for _, b := range runs {
					if b.worker == a.worker && !b.begin.After(a.begin) && (b.how == "" || b.end.After(a.begin)) {
						n++
					}
				}
				if n > j.anti {
					r.Violation("ROUTE: %s run %d is number %d of step %d on %s, antiAffinity %d, best effort %v", a.task, a.run, n, st, a.worker, j.anti, j.ephemeral)
				}
			}
		}
	}
	for task, list := range r.Runs() {
		id, _, _ := strings.Cut(task, ".")
		j := byID[id]
		if j == nil {
			continue
		}
		if j.refusedAll {
			r.Violation("REFUSED: %s was started, %v", task, j.statuses)
		}
		failed, isDone := 0, false
		for _, a := range list {
			if j.constraint != "" && a.labels[0] != j.constraint {
				r.Violation("ROUTE: %s run %d on %s %v needs %s", task, a.run, a.worker, a.labels, j.constraint)
			}
		}
		for i, a := range list {
			if a.how == "failed" && a.acked && !a.lapsedBy {
				failed++
			}
			isDone = isDone || a.how == "done"
			if !j.cancelled.IsZero() && a.begin.After(j.cancelled.Add(3*time.Second)) {
				r.Violation("UNASKED: %s run %d started %v after the cancel", task, a.run, a.begin.Sub(j.cancelled))
			}
			for k, b := range list {
				if i == k || b.begin.Before(a.begin) {
					continue
				}
				switch {
				case a.how == "" || b.begin.Before(a.end):
					r.Violation("TWICE: %s (best effort %v): run %d on %s started while run %d was running on %s until %v later", task, j.ephemeral, b.run, b.worker, a.run, a.worker, a.end.Sub(b.begin))
				case a.how == "done" && a.acked && !a.lapsedBy && !j.ephemeral:
					r.Violation("TWICE: %s: run %d on %s started %d ms after run %d had ended done on %s", task, b.run, b.worker, b.begin.Sub(a.end).Milliseconds(), a.run, a.worker)
				}
			}
		}
		if failed > 3 && !j.ephemeral {
			r.Violation("BUDGET: %s failed %d times", task, failed)
		}
		if isDone {
			doneTasks[id]++
		}
	}
	for _, j := range jobs {
		if j.done && doneTasks[j.id] < j.tasks {
			r.Violation("MIXED: %s is complete, %d of %d tasks are done", j.id, doneTasks[j.id], j.tasks)
		}
	}
}

// fault plays one fault of the kind k, and returns when it is over.
func (s *System) fault(k string, n, x int, y time.Duration, how string) {
	restart := func(p *Process, d time.Duration) {
		p.waitFor(8 * time.Second)
		time.Sleep(d)
		_ = p.start()
	}
	f := StoreFaults{}
	switch k {
	case "entry-kill":
		s.entries[x].signal(syscall.SIGKILL)
		restart(s.entries[x], y/3)
	case "all-kill":
		for _, p := range s.entries {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range s.agents {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(y / 3)
		for _, p := range append(append([]*Process{}, s.entries...), s.agents...) {
			restart(p, 0)
		}
	case "entry-stop":
		p := s.entries[x]
		p.signal(syscall.SIGSTOP)
		time.Sleep(y)
		p.signal(syscall.SIGCONT)
	case "entry-term":
		s.entries[x].signal(syscall.SIGTERM)
		restart(s.entries[x], 100*time.Millisecond)
	case "agent-kill":
		s.agents[n].signal(syscall.SIGKILL)
		restart(s.agents[n], y/5)
	case "agent-stop":
		p := s.agents[n]
		p.signal(syscall.SIGSTOP)
		time.Sleep(y)
		p.signal(syscall.SIGCONT)
	case "agent-term":
		s.agents[n].signal(syscall.SIGTERM)
		restart(s.agents[n], 100*time.Millisecond)
	case "worker-crash":
		w := s.workers[n]
		w.mu.Lock()
		dead := w.life.dead
		cfg := w.life.cfg
		w.mu.Unlock()
		if dead {
			return
		}
		w.Crash()
		time.Sleep(y / 2)
		_ = w.Start(cfg)
	case "worker-lose", "worker-late", "worker-fail":
		w := s.workers[n]
		set := func(v float64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch k {
			case "worker-lose":
				w.lose = v
			case "worker-late":
				w.late = v
			default:
				w.fail = v
			}
		}
		set(0.3)
		time.Sleep(y)
		set(0)
	case "store-down":
		f.down = how
	case "store-partial":
		var refused []string
		for p := range storePartitions {
			if p%3 == x {
				refused = append(refused, fmt.Sprintf("keyed.jobs/%d", p))
			}
		}
		s.store.SetRefused(refused)
		time.Sleep(y)
		s.store.SetRefused(nil)
		return
	case "store-lost":
		f.lose = 0.35
	case "store-late":
		f.late = 0.35
	case "store-slow":
		f.delay = 240 * time.Millisecond
	case "nodes":
		p := s.entries[x]
		f.nodes = map[string]string{p.storeIP(): how}
		s.store.SetFaults(f)
		s.store.Revoke("entries", p.ip)
		time.Sleep(9 * time.Second)
		s.store.SetFaults(StoreFaults{})
		return
	case "rebalance":
		s.store.Rebalance()
	case "config":
		s.publish(route("orders", "orders", 3) + "," + route(fmt.Sprintf("q%d", n), "orders", 2))
	case "partial-silent":
		s.store.SetSilent(x)
		time.Sleep(min(y, 4500*time.Millisecond))
		s.store.SetSilent(-1)
	case "worker-drain":
		w := s.workers[n]
		w.mu.Lock()
		dead, cfg := w.life.dead || w.life.draining, w.life.cfg
		w.mu.Unlock()
		if dead {
			return
		}
		w.Drain()
		time.Sleep(2*time.Second + y/2)
		w.Leave()
		if n%2 == 0 {
			cfg.ID += "x"
		}
		_ = w.Start(cfg)
	}
	if strings.HasPrefix(k, "store-") {
		s.store.SetFaults(f)
		time.Sleep(min(y, 4500*time.Millisecond))
		s.store.SetFaults(StoreFaults{})
	}
}
