//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Limits of a worker, as PROTOCOL.md and the settings name them.
const (
	holdMax       = time.Second
	listedEnds    = 500
	heartbeatTime = 1500 * time.Millisecond
	// firstHeartbeat is the time from the start of a life to its first heartbeat.
	firstHeartbeat = 50 * time.Millisecond
)

// worker is a stand-in for a worker of PROTOCOL.md. It does not guard its capacity.
type worker struct {
	rec     *recorder
	id      string
	service string
	address string
	agent   string
	cpu     int64

	// lateShare is the share of the orders that get no answer and are carried out 2 s later or
	// more, lostShare that of the starts whose answer is lost. failShare is the share of the runs
	// that fail.
	lateShare, lostShare, failShare float64

	mu     sync.Mutex
	labels []string
	state  *workerLife
	seq    int
	down   bool
	// draining is set while the worker says that it drains.
	draining bool
	// ackedAt is when the last acknowledged heartbeat was sent.
	ackedAt time.Time
}

// workerLife is one incarnation of a worker.
type workerLife struct {
	born    time.Time
	fence   uint64
	runs    map[string]*workerRun // By "TASK#RUN".
	highest map[string]uint64
	ends    []*workerEnd // Those not forgotten.
	count   int          // The number of the last end.
	lease   time.Time
	// lapsedAt is the last time at which the lease was found to have run out.
	lapsedAt time.Time
}

type workerRun struct {
	task  string
	run   uint64
	begun time.Time
	takes time.Duration
	how   string
}

type workerEnd struct {
	number int
	task   string
	run    uint64
	how    string
	at     time.Time
}

func newWorker(rec *recorder, id, service, address, agent string, cpu int64, labels ...string) *worker {
	w := &worker{rec: rec, id: id, service: service, address: address, agent: agent, cpu: cpu, labels: labels}
	w.state = newLife()
	return w
}

func newLife() *workerLife {
	return &workerLife{born: time.Now(), runs: make(map[string]*workerRun), highest: make(map[string]uint64)}
}

// restart ends the life of the worker and begins another one with other labels.
func (w *worker) restart(down time.Duration, labels ...string) {
	w.mu.Lock()
	for _, r := range w.state.runs {
		w.rec.end(w.id, r.task, r.run, "crashed")
	}
	w.down = true
	w.rec.add("worker %s crashes", w.id)
	w.mu.Unlock()
	time.Sleep(down)
	w.mu.Lock()
	w.state, w.labels, w.seq, w.down = newLife(), labels, 0, false
	w.rec.add("worker %s is back with the same id and labels %v", w.id, labels)
	w.mu.Unlock()
	time.Sleep(firstHeartbeat)
	w.beat()
}

// run sends heartbeats and lets runs end, until stop is closed.
func (w *worker) run(stop <-chan struct{}) {
	go func() {
		acked := false
		for {
			acked = w.beat() || acked
			pause := heartbeatTime
			if !acked {
				pause = 200 * time.Millisecond
			}
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}
}

func (w *worker) beat() bool {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return false
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "addr": w.address, "zone": zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": 65536, "gpu": 0}, "labels": w.labels, "clockMs": w.clock(), "seq": w.seq,
		"born": w.state.born.UnixMilli(),
	})
	w.mu.Unlock()
	sentAt := time.Now()
	resp, err := heartbeats.Post("http://"+w.agent+"/gypsumtide/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	acked := resp.StatusCode/100 == 2
	if acked {
		w.mu.Lock()
		w.ackedAt = sentAt
		w.mu.Unlock()
	}
	return acked
}

// heartbeats sends heartbeats, which count as acknowledged within a second.
var heartbeats = &http.Client{Timeout: time.Second}

// sinceAck returns how long ago the last acknowledged heartbeat was sent.
func (w *worker) sinceAck() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.ackedAt)
}

// setFaults sets the shares of late orders and of lost answers.
func (w *worker) setFaults(late, lost float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare, w.lostShare = late, lost
}

// clock returns the worker's own clock. The caller holds the lock.
func (w *worker) clock() int64 { return time.Since(w.state.born).Milliseconds() + 1 }

// advance ends the runs that are complete, or all if the lease has run out.
func (w *worker) advance() {
	s, now := w.state, time.Now()
	for key, r := range s.runs {
		if at := r.begun.Add(r.takes); !now.Before(at) && !s.lease.Before(at) {
			w.endRun(key, r.how)
		}
	}
	if now.Before(s.lease) {
		return
	}
	s.lapsedAt = now
	for key := range s.runs {
		w.endRun(key, "lapsed")
	}
}

func (w *worker) endRun(key, how string) {
	s := w.state
	r := s.runs[key]
	delete(s.runs, key)
	s.highest[r.task] = max(s.highest[r.task], r.run)
	s.count++
	s.ends = append(s.ends, &workerEnd{number: s.count, task: r.task, run: r.run, how: how, at: time.Now()})
	w.rec.end(w.id, r.task, r.run, how)
}

func (w *worker) extend(deadlineMs int64) {
	s := w.state
	until := s.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := time.Now().Add(holdMax); deadlineMs == 0 || until.After(limit) {
		until = limit
	}
	if until.After(s.lease) {
		s.lease = until
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

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		panic(http.ErrAbortHandler)
	}
	isOrder := r.URL.Path != "/gypsumtide/hold"
	switch draw := rand.Float64(); {
	case isOrder && draw < w.lateShare:
		w.rec.add("worker %s: %s %s#%d gets no answer and is carried out late", w.id, r.URL.Path, c.Task, c.Run)
		time.AfterFunc(2*time.Second+time.Duration(rand.IntN(6000))*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.down {
				w.serve(httptest.NewRecorder(), r, c)
			}
		})
		panic(http.ErrAbortHandler)
	case isOrder && draw < w.lateShare+w.lostShare:
		w.serve(httptest.NewRecorder(), r, c)
		panic(http.ErrAbortHandler)
	}
	w.serve(rw, r, c)
}

// serve carries out a call. The caller holds the lock.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, c workerCall) {
	if want := r.Header.Get("X-Gypsumtide-Expect-Instance"); want != "" && want != w.id {
		answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	w.advance()
	if c.Fence < w.state.fence {
		w.reject(rw, "fence")
		return
	}
	w.state.fence = c.Fence
	switch r.URL.Path {
	case "/gypsumtide/run-start":
		w.start(rw, c)
	case "/gypsumtide/run-stop":
		w.stop(rw, c)
	case "/gypsumtide/hold":
		w.hold(rw, r, c)
	default:
		answer(rw, http.StatusNotFound, nil)
	}
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *worker) start(rw http.ResponseWriter, c workerCall) {
	key := fmt.Sprintf("%s#%d", c.Task, c.Run)
	if _, ok := w.state.runs[key]; ok {
		answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	}
	var ms int64
	switch _, err := fmt.Sscanf(c.Spec, "work %d", &ms); {
	case c.Run <= w.state.highest[c.Task]:
		w.extend(c.Deadline)
		w.reject(rw, "old")
		return
	case c.Deadline > 0 && w.clock() > c.Deadline:
		w.reject(rw, "late")
		return
	case err != nil:
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.extend(c.Deadline)
	w.state.runs[key] = &workerRun{task: c.Task, run: c.Run, begun: time.Now(), takes: time.Duration(ms) * time.Millisecond, how: "done"}
	if rand.Float64() < w.failShare {
		w.state.runs[key].how = "failed"
	}
	w.rec.start(w.id, w.service, w.labels, c.Task, c.Run)
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) stop(rw http.ResponseWriter, c workerCall) {
	if key := fmt.Sprintf("%s#%d", c.Task, c.Run); w.state.runs[key] != nil {
		w.endRun(key, "stopped")
	}
	w.state.highest[c.Task] = max(w.state.highest[c.Task], c.Run)
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

// hold forgets ends, renews the lease and answers with both lists. It waits for an end.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c workerCall) {
	s := w.state
	n := 0
	for n < len(s.ends) && s.ends[n].number <= c.LastSeen {
		e := s.ends[n]
		w.rec.noted(w.id, e.task, e.run, e.how, s.lapsedAt.After(e.at))
		n++
	}
	s.ends = s.ends[n:]
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	until := time.Now().Add(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for len(s.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil && w.state == s && !w.down {
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
	}
	if w.down || w.state != s {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range s.runs {
		percent := int(100 * time.Since(run.begun) / max(1, run.takes))
		running = append(running, []any{run.task, run.run, "", min(99, percent), 0})
	}
	for _, e := range s.ends[:min(len(s.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": s.born.UnixMilli(), "running": running, "finished": finished})
}

// unseen returns how many ends the worker keeps.
func (w *worker) unseen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.state.ends)
}

// busy returns how many runs the worker has.
func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.state.runs)
}

// drain lets the worker say that it drains.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.beat()
	w.rec.add("worker %s drains", w.id)
}

// endTime is how long a worker waits for the acknowledgement of its deregistration.
const endTime = 2 * time.Second

// replace deregisters the worker and ends its life. It ends without an acknowledgement too, some
// seconds later. A new life under the same id begins at once.
func (w *worker) replace() {
	body := fmt.Sprintf(`{"born":%d}`, w.state.born.UnixMilli())
	client := &http.Client{Timeout: endTime, Transport: &http.Transport{}}
	resp, err := client.Post("http://"+w.agent+"/gypsumtide/instances/"+w.id+"/deregister", "application/json", strings.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
	w.rec.add("worker %s deregisters and ends; error: %v", w.id, err)
	w.mu.Lock()
	w.draining = false
	w.mu.Unlock()
	w.restart(300*time.Millisecond, w.labels...)
}
