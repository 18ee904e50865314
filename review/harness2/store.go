//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Properties of the store, as in the settings of the small sites.
const (
	storePartitions = 32
	storeAnswerTime = 4 * time.Millisecond
	storeAppendTime = 2 * time.Millisecond
	storeWritesPerS = 800
	storeReadsPerS  = 2000
	storeMinTTL     = 1000 * time.Millisecond
	pageItems       = 500
	pageBytes       = 1 << 20
	kept            = 5 // Responses kept for each producer.
)

// Store stands in for the platform's metadata store in its log form.
type Store struct {
	rec *Record

	mu         sync.Mutex
	partitions map[string]*logPartition
	groups     map[string]*logGroup
	tokens     map[string]float64
	refilled   time.Time
	// refused holds the partitions, as TOPIC/PARTITION, that are down.
	refused map[string]bool
	faults  StoreFaults
	// silent is one more than the third of the partitions of the jobs that does not answer.
	silent int
}

type logPartition struct {
	appending sync.Mutex
	records   []logRecord
	producers map[string]*producer
	changed   chan struct{}
}

type logRecord struct {
	key   string
	value []byte
	raw   []byte
}

type producer struct {
	epoch, seq uint64
	responses  map[uint64]map[string]any
}

type logGroup struct {
	topic      string
	generation uint64
	members    map[string]*groupMember
	owners     []string
	targets    []string
}

type groupMember struct {
	expires      time.Time
	acknowledged uint64
}

func newStore(rec *Record) *Store {
	return &Store{
		rec: rec, partitions: make(map[string]*logPartition), groups: make(map[string]*logGroup), refused: make(map[string]bool),
		tokens: map[string]float64{"write": storeWritesPerS, "read": storeReadsPerS}, refilled: time.Now(),
	}
}

// SetRefused makes the store refuse calls on the partitions with status 503.
func (s *Store) SetRefused(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]bool)
	for _, k := range keys {
		s.refused[k] = true
	}
}

// Put appends a record of the operator.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic + "/0")
	p.add([]logRecord{newLogRecord(key, value)})
}

// Owners returns the owner of each partition of the group.
func (s *Store) Owners(group string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.group(group).owners...)
}

func newLogRecord(key string, value []byte) logRecord {
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	raw = append(raw, byte(len(key)))
	raw = append(raw, key...)
	raw = append(raw, value...)
	return logRecord{key: key, value: value, raw: raw}
}

func (p *logPartition) add(records []logRecord) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// partition returns a partition by its name TOPIC/PARTITION. The caller holds s.mu.
func (s *Store) partition(name string) *logPartition {
	p, ok := s.partitions[name]
	if !ok {
		p = &logPartition{producers: make(map[string]*producer), changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

// spend takes the price of a call from the rate of its kind. It returns false if the rate is
// exceeded.
func (s *Store) spend(kind string, price float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	passed := now.Sub(s.refilled).Seconds()
	s.refilled = now
	for k, rate := range map[string]float64{"write": storeWritesPerS, "read": storeReadsPerS} {
		s.tokens[k] = min(rate, s.tokens[k]+rate*passed)
	}
	if s.tokens[kind] < price {
		return false
	}
	s.tokens[kind] -= price
	return true
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, kind string, price float64, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeAnswerTime)
			if s.inject(w, r, h) {
				return
			}
			if !s.spend(kind, price) {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			if s.isRefused(r) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			h(w, r)
		})
	}
	handle("POST /gypsumtide/log-append", "write", 1, s.serveAppend)
	handle("GET /gypsumtide/log-read", "read", 1, s.serveRead)
	handle("GET /gypsumtide/log-newest", "read", 1, s.serveNewest)
	handle("POST /gypsumtide/log-join", "write", 0.1, s.serveJoin)
	handle("POST /gypsumtide/log-leave", "write", 1, s.serveLeave)
	handle("GET /gypsumtide/log-owners", "read", 1, s.serveOwners)
	return mux
}

func partitionName(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func (s *Store) isRefused(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[partitionName(r)]
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := parseRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	p := s.partition(partitionName(r))
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(storeAppendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var pr *producer
	var seq uint64
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("seq"), 10, 64)
		pr = p.producers[name]
		if pr == nil {
			pr = &producer{}
			p.producers[name] = pr
		}
		switch {
		case epoch < pr.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > pr.epoch:
			pr.epoch, pr.seq, pr.responses = epoch, seq, make(map[uint64]map[string]any)
		case pr.responses[seq] != nil:
			answer(w, http.StatusOK, pr.responses[seq])
			return
		case seq != pr.seq+1:
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": pr.seq + 1})
			return
		default:
			pr.seq = seq
		}
	}
	response := map[string]any{"offset": len(p.records), "endOffset": len(p.records) + len(records)}
	if len(records) > 0 {
		p.add(records)
	}
	if pr != nil {
		pr.responses[seq] = response
		delete(pr.responses, seq-kept)
	}
	answer(w, http.StatusOK, response)
}

func parseRecords(data []byte) ([]logRecord, bool) {
	var records []logRecord
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if n < 1 || n > len(data) || 1+int(data[0]) > n {
			return nil, false
		}
		k := int(data[0])
		records = append(records, newLogRecord(string(data[1:1+k]), append([]byte(nil), data[1+k:n]...)))
		data = data[n:]
	}
	return records, true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(partitionName(r))
		records := p.records[min(from, len(p.records)):]
		end, changed := len(p.records), p.changed
		s.mu.Unlock()
		expired := false
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				expired = true
			}
		}
		if len(records) > 0 || expired {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, rec := range records {
				data = append(data, rec.raw...)
			}
			_, _ = w.Write(data)
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	p := s.partition(partitionName(r))
	newest := make(map[string]int)
	for i, rec := range p.records {
		newest[rec.key] = i
	}
	var keys []string
	for k, i := range newest {
		if len(p.records[i].value) > 0 && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		rec := p.records[newest[k]]
		if size += len(rec.raw); len(items) == pageItems || len(items) > 0 && size > pageBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": k, "value": rec.value, "offset": newest[k]})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttlMs"`
	Generation uint64   `json:"generation"`
}

func (s *Store) group(name string) *logGroup {
	g, ok := s.groups[name]
	if !ok {
		g = &logGroup{members: make(map[string]*groupMember), owners: make([]string, storePartitions), targets: make([]string, storePartitions)}
		s.groups[name] = g
	}
	return g
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(c.TTL)*time.Millisecond, storeMinTTL)
	s.mu.Lock()
	g := s.group(c.Group)
	g.topic = c.Topics[0]
	g.expire()
	m, ok := g.members[c.Member]
	if !ok {
		m = &groupMember{}
		g.members[c.Member] = m
		g.assign()
		s.rec.Log("store: %s joins the group, generation %d", c.Member, g.generation)
	}
	m.expires = time.Now().Add(ttl)
	m.acknowledged = max(m.acknowledged, c.Generation)
	g.move()
	parts := [][]any{}
	for p, owner := range g.owners {
		if owner == c.Member && g.targets[p] == c.Member {
			parts = append(parts, []any{g.topic, p, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"generation": generation, "parts": parts})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.group(c.Group)
	if _, ok := g.members[c.Member]; ok {
		g.remove(c.Member)
		g.assign()
		g.move()
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

func (s *Store) serveOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	g := s.group(r.URL.Query().Get("group"))
	g.expire()
	rows := [][]any{}
	for p, owner := range g.owners {
		if owner != "" {
			rows = append(rows, []any{g.topic, p, owner, 0})
		}
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

func (g *logGroup) remove(name string) {
	delete(g.members, name)
	for p, owner := range g.owners {
		if owner == name {
			g.owners[p] = ""
		}
	}
}

// expire removes the members that have sent nothing for their time to live.
func (g *logGroup) expire() {
	expired := false
	for name, m := range g.members {
		if time.Now().After(m.expires) {
			g.remove(name)
			expired = true
		}
	}
	if expired {
		g.assign()
		g.move()
	}
}

// assign begins a generation and distributes the partitions evenly. As many as possible stay
// with their owner.
func (g *logGroup) assign() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) == 0 {
		clear(g.targets)
		return
	}
	quota := (len(g.targets) + len(names) - 1) / len(names)
	count := make(map[string]int)
	for p, owner := range g.owners {
		g.targets[p] = ""
		if _, ok := g.members[owner]; ok && count[owner] < quota {
			g.targets[p] = owner
			count[owner]++
		}
	}
	for p := range g.targets {
		if g.targets[p] != "" {
			continue
		}
		least := names[0]
		for _, n := range names {
			if count[n] < count[least] {
				least = n
			}
		}
		g.targets[p] = least
		count[least]++
	}
}

// move gives the partitions that their owners have released to their targets.
func (g *logGroup) move() {
	for p, owner := range g.owners {
		if owner == g.targets[p] {
			continue
		}
		if m, ok := g.members[owner]; !ok || m.acknowledged >= g.generation {
			g.owners[p] = g.targets[p]
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("answer: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
