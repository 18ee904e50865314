// Package platformlog is a stand-in of the platform's append-only log service.
// It keeps its records in memory.
//
// Protocol: POST /streams/{stream}/records appends the body and answers
// {"offset": n}. GET /streams/{stream}/records?from=N&wait-ms=W&max=M answers
// {"records": [{"offset": n, "data": base64}], "next": n}; fewer than M
// records mean that the end of the stream was reached. A trimmed offset gives
// 410 with {"first": n}, an offset beyond the end 416. 429 means that the
// append rate was exceeded and nothing was written.
package platformlog

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumtide"
)

// Server holds the streams.
type Server struct {
	cfg   Settings
	clock gypsumtide.Clock
	rate  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	// switched is closed and replaced when the faults change.
	switched chan struct{}

	// closed ends held writes when the server stops.
	closed chan struct{}
	once   sync.Once
}

// New returns an empty log.
func New(cfg Settings, clock gypsumtide.Clock) *Server {
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	return &Server{
		cfg:      cfg,
		clock:    clock,
		rate:     rate.NewLimiter(limit, max(1, cfg.AppendsPerSecond/10)),
		streams:  map[string]*stream{},
		switched: make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// Close ends the requests that a fault holds.
func (s *Server) Close() { s.once.Do(func() { close(s.closed) }) }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /streams/{stream}/records", s.handleRead)
	mux.HandleFunc("POST /streams/{stream}/trim", s.handleTrim)
	mux.HandleFunc("GET /faults", s.handleGetFaults)
	mux.HandleFunc("PUT /faults", s.handlePutFaults)
	return mux
}

// Append adds a record regardless of faults and limits.
func (s *Server) Append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).append(data, s.clock.Now())
}

// Trim drops the records of a stream before the offset.
func (s *Server) Trim(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(before)
}

// Bounds returns the first available offset of a stream and its end.
func (s *Server) Bounds(name string) (first, end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return st.first, st.end()
}

// stream returns the stream after the retention has been applied. The caller
// holds the lock.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.expire(s.clock.Now(), s.cfg.Retention, s.cfg.RetentionRecords)
	return st
}

// slow delays a request by the fault slow-ms and, for a write, by the time of
// a synced write.
func (s *Server) slow(done <-chan struct{}, write bool) {
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

// hold applies the faults hang and down. It reports false if the request is to
// be answered with 503.
func (s *Server) hold(done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		f, switched := s.faults, s.switched
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
		case <-switched:
		}
	}
}

// loseAnswer decides whether the answer of an append is lost.
func (s *Server) loseAnswer() bool {
	ratio := s.Faults().LoseAnswers
	return ratio > 0 && rand.Float64() < ratio
}
