package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"gypsumtide"
)

// Times of the wait for first requests.
const (
	// arrivalTime bounds the wait for the first requests of new connections. It covers
	// a round trip and a busy processor.
	arrivalTime gypsumtide.Millis = 200
	// arrivalInterval is the pause between two looks.
	arrivalInterval gypsumtide.Millis = 2
)

// arrivals holds the connections of a server of which no request has reached the
// handler. net/http closes such a connection without an answer if its request is
// read after the shutdown has begun.
type arrivals struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

type connKey struct{}

// watch follows the connections of srv. It is called before the server starts.
func (a *arrivals) watch(srv *http.Server) {
	a.conns = make(map[net.Conn]struct{})
	handler := srv.Handler
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			a.add(c)
		case http.StateClosed, http.StateHijacked:
			a.remove(c)
		}
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			a.remove(c)
		}
		handler.ServeHTTP(w, r)
	})
}

func (a *arrivals) add(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
}

func (a *arrivals) remove(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

func (a *arrivals) open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// wait returns once all connections have had a request, or arrivalTime is over.
func (a *arrivals) wait(ctx context.Context) {
	wctx, cancel := context.WithTimeout(ctx, arrivalTime.Duration())
	defer cancel()
	for a.open() > 0 && gypsumtide.Sleep(wctx, arrivalInterval) {
	}
}
