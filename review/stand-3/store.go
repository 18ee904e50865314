//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"gypsumtide/platform/standin"
)

// maxRecordBytes is platform.recordBytes of the settings.
const maxRecordBytes = 262144

// appendCall is an append that reaches the store.
type appendCall struct {
	Topic, Partition string
	Body             []byte
}

// store puts the limits and disruptions that the pages name in front of the project's stand-in
// of the metadata store.
type store struct {
	*standin.Store
	rec *recorder

	mu sync.Mutex
	// late returns after how long an append that gets no answer is carried out, or 0 for an
	// append that is handled as usual.
	late func(a appendCall) time.Duration
}

func newStore(rec *recorder) *store { return &store{Store: standin.NewStore(), rec: rec} }

func (s *store) setLate(late func(a appendCall) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// handler returns the HTTP interface of the store.
func (s *store) handler() http.Handler {
	inner := s.Store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/gypsumtide/log-append" {
			inner.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a := appendCall{Topic: r.URL.Query().Get("topic"), Partition: r.URL.Query().Get("part"), Body: body}
		if n := largestRecord(body); n > maxRecordBytes {
			s.rec.add("store refuses an append to %s/%s: a record of %d bytes, recordBytes is %d", a.Topic, a.Partition, n, maxRecordBytes)
			http.Error(w, "record too large", http.StatusBadRequest)
			return
		}
		again := func() *http.Request {
			return httptest.NewRequest(http.MethodPost, r.URL.RequestURI(), bytes.NewReader(body))
		}
		s.mu.Lock()
		late := s.late
		s.mu.Unlock()
		if late != nil {
			if d := late(a); d > 0 {
				s.rec.add("store gives no answer to an append to %s/%s, and carries it out in %v", a.Topic, a.Partition, d)
				time.AfterFunc(d, func() {
					answer := httptest.NewRecorder()
					inner.ServeHTTP(answer, again())
					s.rec.add("store carries out the late append to %s/%s: status %d", a.Topic, a.Partition, answer.Code)
				})
				// The connection returns nothing further.
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		inner.ServeHTTP(w, again())
	})
}

// largestRecord returns the size of the largest record of an append.
func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		largest = max(largest, n)
		body = body[4:]
		body = body[min(n, len(body)):]
	}
	return largest
}
