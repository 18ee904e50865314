//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"time"
)

// StoreFaults are the faults of the store while it is explored.
type StoreFaults struct {
	// delay is added to the time of each answer.
	delay time.Duration
	// down is how the store rejects all calls: busy, many, silent or reset; "" if it does not.
	down string
	// lose is the share of writes that are done and get no answer, late that of writes that
	// are done 1 to 6 s later.
	lose, late float64
	// nodes is like down for single machines, by the address at which they call the store.
	nodes map[string]string
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetSilent makes a third of the partitions of the jobs leave calls unanswered; -1 ends it.
func (s *Store) SetSilent(third int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = third + 1
}

// inject reports whether the call has been dealt with.
func (s *Store) inject(w http.ResponseWriter, r *http.Request, h http.HandlerFunc) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	local, _, _ := net.SplitHostPort(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	how := f.down
	if part := r.URL.Query().Get("part"); part != "" && r.URL.Query().Get("topic") == "keyed.jobs" {
		var n int
		_, _ = fmt.Sscan(part, &n)
		s.mu.Lock()
		if s.silent > 0 && n%3 == s.silent-1 {
			how = "silent"
		}
		s.mu.Unlock()
	}
	if n := f.nodes[local]; n != "" {
		how = n
	}
	switch how {
	case "busy":
		w.WriteHeader(503)
		return true
	case "many":
		w.WriteHeader(429)
		return true
	case "silent":
		<-r.Context().Done()
		return true
	case "reset":
		panic(http.ErrAbortHandler)
	}
	if f.delay > 0 {
		time.Sleep(f.delay)
	}
	if r.Method == http.MethodPost && rand.Float64() < f.lose+f.late {
		body, _ := io.ReadAll(r.Body)
		q := r.Clone(context.Background())
		q.Body = io.NopCloser(bytes.NewReader(body))
		if rand.Float64()*(f.lose+f.late) < f.late {
			time.AfterFunc(time.Second+time.Duration(rand.IntN(5000))*time.Millisecond, func() { h(httptest.NewRecorder(), q) })
		} else {
			h(httptest.NewRecorder(), q)
		}
		<-r.Context().Done()
		return true
	}
	return false
}

// Revoke removes the member with the address from the group at once.
func (s *Store) Revoke(group, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(group)
	for name := range g.members {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			g.remove(name)
			g.assign()
			g.move()
			return
		}
	}
}

// Rebalance deals all partitions anew at once.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		var names []string
		for n := range g.members {
			names = append(names, n)
		}
		if len(names) == 0 {
			continue
		}
		sort.Strings(names)
		g.generation++
		k := rand.IntN(len(names))
		for p := range g.targets {
			g.targets[p] = names[(p+k)%len(names)]
			g.owners[p] = g.targets[p]
		}
	}
}
