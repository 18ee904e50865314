//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the pages.
const (
	holdMax        = time.Second
	heartbeatEvery = 1500 * time.Millisecond
	endsPerAnswer  = 500 // "The others are returned again (500 at a time)."
)

// event is the start or the end of a run, or the moment at which lastSeen reached its end.
type event struct {
	At     time.Time
	Kind   string // start, end, seen
	Worker string
	Task   string
	Run    uint64
	How    string // of an end
	Lapsed bool   // with seen: the lease lapsed between the end and now
}

// worker is a small stand-in of a worker. The spec of a task is its run time in milliseconds.
type worker struct {
	id, service, address, zone string
	cpu                        int64
	labels                     []string
	rec                        *recorder

	mu          sync.Mutex
	born        time.Time
	fence       uint64
	runs        map[string]*taskRun
	highest     map[string]uint64
	ends        []end // All ends, the first has the number 1.
	seen        int
	leaseUntil  time.Time
	lastLapse   time.Time
	seq         uint64
	acks, fails int // Heartbeats with and without an acknowledgement since the last one counted.
	lastAck     time.Time
	// unanswered is the share of the start calls that get no answer and are carried out after
	// lateBy.
	unanswered float64
	lateBy     func() time.Duration
	calls      int
	left       int
}

type taskRun struct {
	task  string
	no    uint64
	timer *time.Timer
	begin time.Time
	long  time.Duration
}

type end struct {
	task string
	run  uint64
	how  string
	at   time.Time
}

func newWorker(id, service, address, zone string, cpu int64, rec *recorder) *worker {
	return &worker{
		id: id, service: service, address: address, zone: zone, cpu: cpu, labels: []string{"a", "r1-1"}, rec: rec,
		born: time.Now(), runs: make(map[string]*taskRun), highest: make(map[string]uint64),
	}
}

type callBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fence"`
	LastSeen int    `json:"lastSeen"`
	Wait     int    `json:"waitMs"`
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /gypsumtide/run-start", w.call(w.start))
	mux.HandleFunc("POST /gypsumtide/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /gypsumtide/hold", w.call(w.hold))
	return mux
}

func (w *worker) call(handle func(rw http.ResponseWriter, r *http.Request, b callBody)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		var b callBody
		if err == nil {
			err = json.Unmarshal(data, &b)
		}
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("X-Gypsumtide-Expect-Instance"); want != "" && want != w.id {
			http.Error(rw, "another worker", http.StatusMisdirectedRequest)
			return
		}
		handle(rw, r, b)
	}
}

func answer(rw http.ResponseWriter, status int, v map[string]any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request, b callBody) {
	w.mu.Lock()
	w.calls++
	if w.unanswered > 0 && rand.Float64() < w.unanswered {
		w.left++
		d := w.lateBy()
		w.mu.Unlock()
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.startRun(b)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer w.mu.Unlock()
	if reason := w.startRun(b); reason != "" {
		w.refuse(rw, reason)
		return
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func key(task string, no uint64) string { return task + "#" + strconv.FormatUint(no, 10) }

// startRun carries out a start call. It returns "", or the reason of a refusal.
func (w *worker) startRun(b callBody) string {
	if b.Fence < w.fence {
		return "fence"
	}
	w.fence = b.Fence
	k := key(b.Task, b.Run)
	if _, ok := w.runs[k]; ok {
		return ""
	}
	w.lapse()
	if b.Run <= w.highest[b.Task] {
		w.extend(b.Deadline)
		return "old"
	}
	if w.clock() > b.Deadline {
		return "late"
	}
	ms, err := strconv.Atoi(b.Spec)
	if err != nil {
		return "spec"
	}
	w.extend(b.Deadline)
	r := &taskRun{task: b.Task, no: b.Run, begin: time.Now(), long: time.Duration(ms) * time.Millisecond}
	r.timer = time.AfterFunc(r.long, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[k] == r {
			w.finish(k, "done")
		}
	})
	w.runs[k] = r
	w.rec.event(event{At: time.Now(), Kind: "start", Worker: w.id, Task: b.Task, Run: b.Run})
	return ""
}

func (w *worker) extend(deadline int64) {
	until := time.Now().Add(time.Duration(deadline-w.clock()) * time.Millisecond)
	if limit := time.Now().Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

func (w *worker) finish(k, how string) {
	r := w.runs[k]
	r.timer.Stop()
	delete(w.runs, k)
	w.highest[r.task] = max(w.highest[r.task], r.no)
	w.ends = append(w.ends, end{r.task, r.no, how, time.Now()})
	w.rec.event(event{At: time.Now(), Kind: "end", Worker: w.id, Task: r.task, Run: r.no, How: how})
}

// lapse ends all runs if the lease has expired.
func (w *worker) lapse() {
	now := time.Now()
	if !now.After(w.leaseUntil) {
		return
	}
	w.lastLapse = now
	for k := range w.runs {
		w.finish(k, "lapsed")
	}
}

// run enforces the lease and sends heartbeats until ctx is done.
func (w *worker) run(ctx context.Context, agent string) {
	go func() {
		client := &http.Client{Timeout: time.Second}
		for ctx.Err() == nil {
			err := w.heartbeat(ctx, client, agent)
			w.mu.Lock()
			if err == nil {
				w.acks++
				w.lastAck = time.Now()
			} else {
				w.fails++
			}
			w.mu.Unlock()
			pause(ctx, heartbeatEvery)
		}
	}()
	for ctx.Err() == nil {
		pause(ctx, 5*time.Millisecond)
		w.mu.Lock()
		w.lapse()
		w.mu.Unlock()
	}
}

func (w *worker) heartbeat(ctx context.Context, client *http.Client, agent string) error {
	w.mu.Lock()
	w.seq++
	body, err := json.Marshal(map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": 65536}, "labels": w.labels, "clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent+"/gypsumtide/instances/"+w.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, b callBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = b.Fence
	if _, ok := w.runs[key(b.Task, b.Run)]; ok {
		w.finish(key(b.Task, b.Run), "stopped")
	}
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, b callBody) {
	until := time.Now().Add(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		w.mu.Lock()
		if b.Fence < w.fence {
			w.refuse(rw, "fence")
			w.mu.Unlock()
			return
		}
		if first {
			w.fence = b.Fence
			w.lapse()
			for ; w.seen < min(b.LastSeen, len(w.ends)); w.seen++ {
				e := w.ends[w.seen]
				w.rec.event(event{At: time.Now(), Kind: "seen", Worker: w.id, Task: e.task, Run: e.run, How: e.how, Lapsed: w.lastLapse.After(e.at)})
			}
			if b.Deadline > 0 {
				w.extend(b.Deadline)
			}
		}
		if len(w.ends) > max(w.seen, b.LastSeen) || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.no, "", min(99, int64(100*time.Since(r.begin)/max(1, r.long))), 0})
	}
	from := min(max(w.seen, b.LastSeen), len(w.ends))
	for i := from; i < len(w.ends) && i < from+endsPerAnswer; i++ {
		e := w.ends[i]
		finished = append(finished, []any{i + 1, e.task, e.run, e.how, ""})
	}
	v := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	answer(rw, http.StatusOK, v)
}
