// Package platformlog is a stand-in for the platform's append-only log service. It
// keeps the records in memory.
//
// Protocol: POST /streams/{stream}/records appends the body and returns
// {"offset": n}. GET /streams/{stream}/records?from=N&wait-ms=W&max=M returns
// {"records": [{"offset": n, "data": base64}], "next": n}; fewer than M records
// mean that the end of the stream was reached. M is 100 by default, and W is 0; an M above
// 10,000 or a W above 60,000 counts as that number. A removed offset gives 410 with
// {"first": n}, an offset beyond the end 416 with {"next": n}. Status 429 means
// that the append rate was exceeded and nothing was written. For tests,
// POST /streams/{stream}/trim with {"before": n} removes the records before an offset,
// and GET and PUT /faults read and set the injected faults.
package platformlog

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumtide"
)

// Server stores the streams and implements the HTTP API.
type Server struct {
	cfg           Settings
	clock         gypsumtide.Clock
	appendLimiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}

	// closed is closed by Close to release delayed and blocked appends.
	closed chan struct{}
	once   sync.Once
}

// New returns a Server without records.
func New(cfg Settings, clock gypsumtide.Clock) *Server {
	appendLimit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		appendLimit = rate.Limit(cfg.AppendsPerSecond)
	}
	return &Server{
		cfg:           cfg,
		clock:         clock,
		appendLimiter: rate.NewLimiter(appendLimit, max(1, cfg.AppendsPerSecond/10)),
		streams:       map[string]*stream{},
		faultsChanged: make(chan struct{}),
		closed:        make(chan struct{}),
	}
}

// Close releases the appends that are delayed or blocked. An append that is delayed is
// then handled at once; one that the fault hang blocks is not written.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /streams/{stream}/records", s.handleRead)
	mux.HandleFunc("POST /streams/{stream}/trim", s.handleTrim)
	mux.HandleFunc("GET /faults", s.handleGetFaults)
	mux.HandleFunc("PUT /faults", s.handlePutFaults)
	return mux
}

// Append appends a record regardless of faults, the append rate and the size limit, and
// returns its offset.
func (s *Server) Append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).append(data, s.clock.Now())
}

// Trim removes the records of a stream before the offset.
func (s *Server) Trim(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(before)
}

// Bounds returns the first available offset of a stream, and the offset that the
// next record will get. They are equal if the stream holds no records.
func (s *Server) Bounds(name string) (first, end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return st.first, st.end()
}

// stream returns the named stream after removing its expired records. It creates the
// stream if needed. The caller must hold s.mu.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.expire(s.clock.Now(), s.cfg.Retention, s.cfg.RetentionRecords)
	return st
}

// delay waits for the time of the fault slow-ms and, for a write, also for
// Settings.AppendMillis. It returns early when done is closed.
func (s *Server) delay(done <-chan struct{}, write bool) {
	d := gypsumtide.Millis(s.Faults().SlowMillis)
	if write {
		d += s.cfg.AppendMillis
	}
	if d <= 0 {
		return
	}
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// awaitFaults blocks while the fault hang is in effect. It returns false if the
// request must be answered with 503: the fault down is in effect, or done was closed
// while it blocked.
func (s *Server) awaitFaults(done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		f, faultsChanged := s.faults, s.faultsChanged
		s.mu.Unlock()
		if f.Down {
			return false
		}
		if !f.Hang {
			return true
		}
		select {
		case <-done:
			return false
		case <-faultsChanged:
		}
	}
}

// loseAnswer decides at random whether the response to an append is lost.
func (s *Server) loseAnswer() bool {
	probability := s.Faults().LoseAnswers
	return probability > 0 && rand.Float64() < probability
}
