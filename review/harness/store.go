//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of the processes name them.
const (
	storeParts       = 32
	storeAnswer      = 4 * time.Millisecond
	storePageItems   = 500
	storeRecordBytes = 262144
	storeCallBytes   = 2097152
)

// fault is what the store does with a call.
type fault struct {
	// refuse answers 503 and does nothing.
	refuse bool
	// slow delays the call.
	slow time.Duration
	// late gives no answer and carries the call out after the delay, if it is not 0.
	late time.Duration
}

// store is a stand-in for the metadata store of PROTOCOL.md.
type store struct {
	rec *recorder
	// faults decides on each call. It may be nil.
	faults func(r *http.Request, body []byte) fault

	mu     sync.Mutex
	parts  map[string]*partition
	groups map[string]*memberGroup
}

type storedRecord struct {
	key   string
	value []byte
	raw   []byte
}

type appendResult struct {
	seq    uint64
	answer map[string]any
}

type producer struct {
	epoch, seq uint64
	last       []appendResult
}

type partition struct {
	records   []storedRecord
	producers map[string]*producer
}

type memberGroup struct {
	topic          string
	generation     uint64
	members        map[string]*groupMember
	owner, planned []string
}

type groupMember struct {
	expires time.Time
	acked   uint64
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, parts: make(map[string]*partition), groups: make(map[string]*memberGroup)}
}

func (s *store) part(topic, part string) *partition {
	p, ok := s.parts[topic+"/"+part]
	if !ok {
		p = &partition{producers: make(map[string]*producer)}
		s.parts[topic+"/"+part] = p
	}
	return p
}

// put appends a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	p.records = append(p.records, newRecord(key, value))
}

func newRecord(key string, value []byte) storedRecord {
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	raw = append(raw, byte(len(key)))
	raw = append(raw, key...)
	raw = append(raw, value...)
	return storedRecord{key, value, raw}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var f fault
	if s.faults != nil {
		f = s.faults(r, body)
	}
	switch {
	case f.refuse:
		answer(w, http.StatusServiceUnavailable, nil)
		return
	case f.late > 0:
		s.rec.add("store: no answer to %s?%s, carried out %v later", r.URL.Path, r.URL.RawQuery, f.late)
		time.AfterFunc(f.late, func() {
			status, _ := s.handle(r, body)
			s.rec.add("store: late %s?%s carried out, status %d", r.URL.Path, r.URL.RawQuery, status)
		})
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswer + f.slow)
	if r.URL.Path == "/gypsumtide/log-read" {
		s.read(w, r)
		return
	}
	status, v := s.handle(r, body)
	answer(w, status, v)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v) // The client may have left.
	}
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "POST /gypsumtide/log-append":
		return s.append(r, body)
	case "GET /gypsumtide/log-newest":
		return s.newest(r)
	case "POST /gypsumtide/log-join":
		return s.join(body)
	case "POST /gypsumtide/log-leave":
		return s.leave(body)
	case "GET /gypsumtide/log-owners":
		return s.owners(r)
	}
	return http.StatusNotFound, nil
}

func (s *store) append(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	var records []storedRecord
	if len(body) > storeCallBytes {
		return http.StatusBadRequest, nil
	}
	for rest := body; len(rest) > 0; {
		if len(rest) < 5 {
			return http.StatusBadRequest, nil
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n < 1 || n > storeRecordBytes || 4+n > len(rest) || 1+int(rest[4]) > n {
			return http.StatusBadRequest, nil
		}
		k := int(rest[4])
		records = append(records, newRecord(string(rest[5:5+k]), append([]byte(nil), rest[5+k:4+n]...)))
		rest = rest[4+n:]
	}
	p := s.part(q.Get("topic"), q.Get("part"))
	var state *producer
	var seq uint64
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("seq"), 10, 64)
		state = p.producers[name]
		if state == nil {
			state = &producer{}
			p.producers[name] = state
		}
		switch {
		case epoch < state.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch > state.epoch:
			*state = producer{epoch: epoch}
		default:
			for _, a := range state.last {
				if a.seq == seq {
					return http.StatusOK, a.answer
				}
			}
			if seq != state.seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": state.seq + 1}
			}
		}
	}
	result := map[string]any{"offset": len(p.records), "endOffset": len(p.records) + len(records)}
	p.records = append(p.records, records...)
	if state != nil {
		state.seq = seq
		state.last = append(state.last, appendResult{seq, result})
		state.last = state.last[max(0, len(state.last)-5):]
	}
	return http.StatusOK, result
}

func (s *store) newest(r *http.Request) (int, any) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	last := make(map[string]int)
	for i, rec := range p.records {
		last[rec.key] = i
	}
	var keys []string
	for key, i := range last {
		if len(p.records[i].value) > 0 && key > q.Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), storePageItems)] {
		items = append(items, map[string]any{"key": key, "value": p.records[last[key]].value, "offset": last[key]})
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": len(p.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		records := p.records[min(from, len(p.records)):]
		end := len(p.records)
		s.mu.Unlock()
		if len(records) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, rec := range records {
				data = append(data, rec.raw...)
			}
			_, _ = w.Write(data) // The client may have left.
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttlMs"`
	Generation uint64   `json:"generation"`
}

func (s *store) group(name string) *memberGroup {
	g, ok := s.groups[name]
	if !ok {
		g = &memberGroup{members: make(map[string]*groupMember), owner: make([]string, storeParts), planned: make([]string, storeParts)}
		s.groups[name] = g
	}
	return g
}

func (s *store) join(body []byte) (int, any) {
	var c groupCall
	if err := json.Unmarshal(body, &c); err != nil || len(c.Topics) != 1 {
		return http.StatusBadRequest, nil
	}
	g := s.group(c.Group)
	g.topic = c.Topics[0]
	g.expire()
	m, ok := g.members[c.Member]
	if !ok {
		m = &groupMember{}
		g.members[c.Member] = m
		g.plan()
	}
	m.expires = time.Now().Add(time.Duration(c.TTL) * time.Millisecond)
	m.acked = max(m.acked, c.Generation)
	g.transfer()
	rows := [][]any{}
	for p := range g.owner {
		if g.owner[p] == c.Member && g.planned[p] == c.Member {
			rows = append(rows, []any{g.topic, p, 0})
		}
	}
	return http.StatusOK, map[string]any{"generation": g.generation, "parts": rows}
}

func (s *store) leave(body []byte) (int, any) {
	var c groupCall
	if err := json.Unmarshal(body, &c); err != nil {
		return http.StatusBadRequest, nil
	}
	g := s.group(c.Group)
	if _, ok := g.members[c.Member]; ok {
		delete(g.members, c.Member)
		g.plan()
		g.transfer()
	}
	return http.StatusOK, map[string]any{}
}

func (s *store) owners(r *http.Request) (int, any) {
	g := s.group(r.URL.Query().Get("group"))
	g.expire()
	rows := [][]any{}
	for p, owner := range g.owner {
		if owner != "" {
			rows = append(rows, []any{g.topic, p, owner, 0})
		}
	}
	return http.StatusOK, map[string]any{"parts": rows}
}

func (g *memberGroup) expire() {
	gone := false
	for name, m := range g.members {
		if time.Now().After(m.expires) {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.plan()
		g.transfer()
	}
}

// plan begins a generation in which the partitions are distributed evenly.
func (g *memberGroup) plan() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for p := range g.planned {
		g.planned[p] = ""
		if len(names) > 0 {
			g.planned[p] = names[p%len(names)]
		}
	}
}

// rebalance deals all partitions anew at once, without waiting for their owners.
func (s *store) rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.expire()
		g.plan()
		slices.Reverse(g.planned)
		copy(g.owner, g.planned)
	}
}

// transfer gives the partitions whose owners have released them to the members that they are
// planned for.
func (g *memberGroup) transfer() {
	for p, owner := range g.owner {
		m, ok := g.members[owner]
		if owner != g.planned[p] && (!ok || m.acked >= g.generation) {
			g.owner[p] = g.planned[p]
		}
	}
}
