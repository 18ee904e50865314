//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of a worker, as in the settings of the small sites.
const (
	heartbeatEvery = 1500 * time.Millisecond
	maxLease       = 1000 * time.Millisecond
	stopTime       = 20 * time.Millisecond // At most bounds.stopMs.
	maxEnds        = 500                   // Ends that one response lists.
)

// WorkerConfig describes one life of a worker.
type WorkerConfig struct {
	ID       string
	Service  string
	Labels   []string
	CPU      int64
	MemoryMB int64
}

// Worker stands in for a worker and speaks the protocol of the pages. The spec of a task
// begins with its run time in milliseconds and its size in thousandths of a core.
type Worker struct {
	rec     *Record
	address string
	agent   string
	// beats limits the heartbeats; 0 means no limit.
	beats int

	mu   sync.Mutex
	life *life
	// lose is the share of calls that are carried out and get no answer, late that of calls
	// that are carried out 2 to 12 s later, fail that of runs that fail.
	lose, late, fail float64
}

// life is one incarnation of a worker.
type life struct {
	cfg      WorkerConfig
	started  time.Time
	server   *http.Server
	stop     context.CancelFunc
	dead     bool
	draining bool
	seq      uint64

	fence   uint64
	lease   time.Time
	runs    map[string]*workerRun
	highest map[string]uint64
	ends    []workerEnd
	// acked is the number of ends that are forgotten.
	acked int
	// lapsed is the last time at which the lease had expired.
	lapsed  time.Time
	changed chan struct{}
}

type workerRun struct {
	task     string
	run      uint64
	cpu      int64
	begin    time.Time
	runTime  time.Duration
	stopping bool
}

type workerEnd struct {
	task string
	run  uint64
	how  string
	at   time.Time
}

func newWorker(rec *Record, address, agent string) *Worker {
	return &Worker{rec: rec, address: address, agent: agent}
}

// Start begins a life. It sends the first heartbeat at once.
func (w *Worker) Start(cfg WorkerConfig) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	li := &life{
		cfg: cfg, started: time.Now(), stop: stop, runs: make(map[string]*workerRun), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gypsumtide/run-start", w.serve(li, w.start))
	mux.HandleFunc("POST /gypsumtide/run-stop", w.serve(li, w.stopRun))
	mux.HandleFunc("POST /gypsumtide/hold", w.serve(li, w.hold))
	li.server = &http.Server{Handler: mux}
	w.mu.Lock()
	w.life = li
	w.mu.Unlock()
	w.rec.Log("worker %s starts at %s: service %s, labels %v, cpu %d, born %d", cfg.ID, w.address, cfg.Service, cfg.Labels, cfg.CPU, li.started.UnixMilli())
	go func() { _ = li.server.Serve(l) }()
	go w.heartbeats(ctx, li)
	go w.enforceLease(ctx, li)
	return nil
}

// Crash ends the life without a word. What runs ends with it.
func (w *Worker) Crash() {
	w.mu.Lock()
	li := w.life
	li.dead = true
	lost := len(li.runs)
	for _, r := range li.runs {
		w.rec.End(w, li, r.task, r.run, "crashed")
	}
	li.runs = make(map[string]*workerRun)
	w.mu.Unlock()
	li.stop()
	_ = li.server.Close()
	w.rec.Log("worker %s ends, %d runs are lost", li.cfg.ID, lost)
}

// ackTime is how long a worker waits for the answer to a heartbeat or a deregistration,
// endTime the time after which it ends if its deregistration was not acknowledged.
const (
	ackTime = time.Second
	endTime = 2 * time.Second
)

// Drain makes the worker report that it drains.
func (w *Worker) Drain() {
	w.mu.Lock()
	li := w.life
	li.draining = true
	w.mu.Unlock()
	w.rec.Log("worker %s drains", li.cfg.ID)
	w.beat(context.Background(), li)
}

// Leave deregisters the worker and ends it.
func (w *Worker) Leave() {
	w.mu.Lock()
	li := w.life
	w.mu.Unlock()
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), ackTime)
	defer cancel()
	body := fmt.Sprintf(`{"born":%d}`, li.started.UnixMilli())
	acked := false
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agent+"/gypsumtide/instances/"+li.cfg.ID+"/deregister", strings.NewReader(body))
	if err == nil {
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			acked = resp.StatusCode/100 == 2
		}
	}
	w.rec.Log("worker %s has deregistered, acknowledged: %v", li.cfg.ID, acked)
	if !acked {
		time.Sleep(time.Until(sentAt.Add(endTime)))
	}
	w.Crash()
}

func (w *Worker) heartbeats(ctx context.Context, li *life) {
	for n := 0; ctx.Err() == nil && (w.beats == 0 || n < w.beats); n++ {
		wait := heartbeatEvery
		if !w.beat(ctx, li) {
			wait = 10 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (w *Worker) beat(ctx context.Context, li *life) bool {
	w.mu.Lock()
	li.seq++
	state := "ready"
	if li.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": li.cfg.Service, "addr": w.address, "zone": "z-a", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": li.cfg.CPU, "memMb": li.cfg.MemoryMB, "gpu": 0}, "labels": li.cfg.Labels,
		"clockMs": li.clock(), "seq": li.seq, "born": li.started.UnixMilli(),
	})
	w.mu.Unlock()
	if err != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, ackTime)
	defer cancel()
	r, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+w.agent+"/gypsumtide/instances/"+li.cfg.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (li *life) clock() int64 { return time.Since(li.started).Milliseconds() + 1 }

// notify wakes the calls that wait for an end. The caller holds the lock.
func (li *life) notify() {
	close(li.changed)
	li.changed = make(chan struct{})
}

func (w *Worker) enforceLease(ctx context.Context, li *life) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		if now := time.Now(); !li.dead && now.After(li.lease) {
			li.lapsed = now
			for key := range li.runs {
				w.endRun(li, key, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

type workerCall struct {
	Task     string `json:"task"`
	Run      uint64 `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fence"`
	LastSeen int    `json:"lastSeen"`
	Wait     int    `json:"waitMs"`
}

func (w *Worker) serve(li *life, handle func(rw http.ResponseWriter, r *http.Request, li *life, c workerCall)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c workerCall
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("X-Gypsumtide-Expect-Instance"); want != "" && want != li.cfg.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if w.leaveUnanswered(r, li, c, handle) {
			return
		}
		handle(rw, r, li, c)
	}
}

// leaveUnanswered reports whether the call gets no answer by the shares lose and late. It
// carries such a call out, at once or late, and waits until the caller gives up.
func (w *Worker) leaveUnanswered(r *http.Request, li *life, c workerCall, handle func(rw http.ResponseWriter, r *http.Request, li *life, c workerCall)) bool {
	w.mu.Lock()
	lose, late := w.lose, w.late
	w.mu.Unlock()
	x := rand.Float64()
	if x >= lose+late {
		return false
	}
	q := r.Clone(context.Background())
	c.Wait = 0
	carryOut := func() {
		defer func() { _ = recover() }() // A worker that has crashed aborts the call.
		handle(httptest.NewRecorder(), q, li, c)
	}
	if x < late {
		time.AfterFunc(2*time.Second+time.Duration(rand.IntN(10_000))*time.Millisecond, carryOut)
	} else {
		carryOut()
	}
	<-r.Context().Done()
	return true
}

func (w *Worker) reject(rw http.ResponseWriter, li *life, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": li.clock(), "reason": reason})
}

func runKey(task string, run uint64) string { return task + "#" + strconv.FormatUint(run, 10) }

// extend extends the lease to the deadline, a time of the worker's clock.
func (li *life) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := li.started.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(li.lease) {
		li.lease = until
	}
}

func (w *Worker) start(rw http.ResponseWriter, _ *http.Request, li *life, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if li.dead {
		panic(http.ErrAbortHandler)
	}
	if c.Fence < li.fence {
		w.reject(rw, li, "fence")
		return
	}
	li.fence = c.Fence
	key := runKey(c.Task, c.Run)
	if _, ok := li.runs[key]; ok {
		answer(rw, http.StatusOK, map[string]any{"clockMs": li.clock()})
		return
	}
	if c.Run <= li.highest[c.Task] {
		li.extend(c.Deadline)
		w.reject(rw, li, "old")
		return
	}
	if c.Deadline > 0 && li.clock() > c.Deadline {
		w.reject(rw, li, "late")
		return
	}
	var ms, cpu int64
	if _, err := fmt.Sscan(c.Spec, &ms, &cpu); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	li.extend(c.Deadline)
	run := &workerRun{task: c.Task, run: c.Run, cpu: cpu, begin: time.Now(), runTime: time.Duration(ms) * time.Millisecond}
	li.runs[key] = run
	var used int64
	for _, x := range li.runs {
		used += x.cpu
	}
	if used > li.cfg.CPU {
		w.rec.Violation("LIMIT: %s: %d of %d in use", li.cfg.ID, used, li.cfg.CPU)
	}
	w.rec.Start(w, li, c.Task, c.Run)
	time.AfterFunc(run.runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if li.runs[key] == run {
			how := "done"
			if rand.Float64() < w.fail {
				how = "failed"
			}
			w.endRun(li, key, how)
		}
	})
	answer(rw, http.StatusOK, map[string]any{"clockMs": li.clock()})
}

// endRun ends a run and lists the end. The caller holds the lock.
func (w *Worker) endRun(li *life, key, how string) {
	r := li.runs[key]
	delete(li.runs, key)
	li.highest[r.task] = max(li.highest[r.task], r.run)
	li.ends = append(li.ends, workerEnd{task: r.task, run: r.run, how: how, at: time.Now()})
	w.rec.End(w, li, r.task, r.run, how)
	li.notify()
}

func (w *Worker) stopRun(rw http.ResponseWriter, _ *http.Request, li *life, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if li.dead {
		panic(http.ErrAbortHandler)
	}
	if c.Fence < li.fence {
		w.reject(rw, li, "fence")
		return
	}
	li.fence = c.Fence
	li.highest[c.Task] = max(li.highest[c.Task], c.Run)
	key := runKey(c.Task, c.Run)
	if run, ok := li.runs[key]; ok && !run.stopping {
		run.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if li.runs[key] == run {
				w.endRun(li, key, "stopped")
			}
		})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": li.clock()})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, li *life, c workerCall) {
	deadline := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for first, expired := true, c.Wait <= 0; ; first = false {
		w.mu.Lock()
		if li.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if c.Fence < li.fence {
			w.reject(rw, li, "fence")
			w.mu.Unlock()
			return
		}
		li.fence = c.Fence
		if first {
			w.acknowledge(li, c.LastSeen)
			li.extend(c.Deadline)
		}
		if len(li.ends) > li.acked || expired {
			break
		}
		changed := li.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range li.runs {
		percent := min(99, int64(100*time.Since(run.begin)/max(1, run.runTime)))
		running = append(running, []any{run.task, run.run, "", percent, run.cpu})
	}
	for n := li.acked; n < len(li.ends) && len(finished) < maxEnds; n++ {
		e := li.ends[n]
		finished = append(finished, []any{n + 1, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": li.clock(), "born": li.started.UnixMilli(), "running": running, "finished": finished})
}

// acknowledge forgets the ends up to the number. The caller holds the lock.
func (w *Worker) acknowledge(li *life, number int) {
	if now := time.Now(); now.After(li.lease) {
		li.lapsed = now
	}
	for ; li.acked < min(number, len(li.ends)); li.acked++ {
		e := li.ends[li.acked]
		w.rec.Acknowledged(w, li, e, li.lapsed.After(e.at))
	}
}

// Backlog returns the number of ends that are not acknowledged.
func (w *Worker) Backlog() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.life.ends) - w.life.acked
}

// InUse returns the size of what runs.
func (w *Worker) InUse() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var cpu int64
	for _, r := range w.life.runs {
		cpu += r.cpu
	}
	return cpu
}
