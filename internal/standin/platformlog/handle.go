package platformlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"gypsumtide"
)

// Limits of a read.
const (
	defaultReadRecords = 100
	maxReadRecords     = 10_000
	maxWaitMillis      = 60_000
)

// recordBody is one record in the response to a read.
type recordBody struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// readBody is the response to a read.
type readBody struct {
	Records []recordBody `json:"records"`
	Next    uint64       `json:"next"`
}

// handleAppend appends the body of the request as one record.
func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxRecordBytes))
	if err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return
	}
	// An append whose body has arrived is handled even if the client disconnects, so the
	// wait does not depend on the context of the request.
	s.delay(s.closed, true)
	if !s.awaitFaults(s.closed) {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	if !s.appendLimiter.Allow() {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	offset := s.Append(r.PathValue("stream"), data)
	if s.loseAnswer() {
		// ErrAbortHandler closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
}

// handleRead responds with records from an offset onwards. If there are none yet, it
// waits for the next append for at most the time that the request permits. An offset that
// was removed or lies beyond the end gets status 410 or 416.
func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := queryNumber(r, "from", 0, 0)
	limit, limitErr := queryNumber(r, "max", defaultReadRecords, maxReadRecords)
	wait, waitErr := queryNumber(r, "wait-ms", 0, maxWaitMillis)
	if err := errors.Join(err, limitErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.delay(r.Context().Done(), false)
	deadline := s.clock.Now() + gypsumtide.Millis(wait)
	for {
		if !s.awaitFaults(r.Context().Done()) {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		st := s.stream(r.PathValue("stream"))
		first, end, changed := st.first, st.end(), st.changed
		var records []recordBody
		if from >= first && from < end {
			records = readRecords(st, from, limit)
		}
		s.mu.Unlock()
		remaining := deadline - s.clock.Now()
		switch {
		case from < first:
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		case from > end:
			writeJSON(w, http.StatusRequestedRangeNotSatisfiable, map[string]uint64{"next": end})
			return
		case len(records) > 0 || remaining <= 0:
			if records == nil {
				records = []recordBody{}
			}
			writeJSON(w, http.StatusOK, readBody{Records: records, Next: from + uint64(len(records))})
			return
		}
		// SetFaults also closes this channel, so that the loop applies the new faults.
		timer := time.NewTimer(remaining.Duration())
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// readRecords returns at most limit records from an offset that st retains.
func readRecords(st *stream, from, limit uint64) []recordBody {
	part := st.records[from-st.first:]
	part = part[:min(uint64(len(part)), limit)]
	records := make([]recordBody, 0, len(part))
	for i, r := range part {
		records = append(records, recordBody{Offset: from + uint64(i), Data: r.data})
	}
	return records
}

// handleTrim removes the records before an offset and responds with the first available
// offset, which is the end of the stream if no record is left.
func (s *Server) handleTrim(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Before uint64 `json:"before"`
	}
	if !readJSON(w, r, &request) {
		return
	}
	name := r.PathValue("stream")
	s.Trim(name, request.Before)
	first, _ := s.Bounds(name)
	writeJSON(w, http.StatusOK, map[string]uint64{"first": first})
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	writeJSON(w, http.StatusOK, f)
}

// queryNumber parses a query parameter as a number, and returns def if it is missing.
// Numbers above the limit are reduced to it; a limit of 0 means none.
func queryNumber(r *http.Request, key string, def, limit uint64) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", key, err)
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n, nil
}

// readJSON decodes the body of a request into v. If that fails, it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
