package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"gypsumtide"
)

// Limits of the wait for first requests.
const (
	// firstRequestTimeout limits the wait for the first requests on new connections.
	// It allows for a network round trip and a busy processor.
	firstRequestTimeout gypsumtide.Millis = 200
	// firstRequestPollInterval is the time between two checks for pending connections.
	firstRequestPollInterval gypsumtide.Millis = 2
)

// pendingConns holds the connections of a server on which no request has reached
// the handler yet. net/http closes such a connection without a response if its
// first request is read after the shutdown has begun.
type pendingConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// track registers the connections of srv. It must be called before the server
// starts.
func (p *pendingConns) track(srv *http.Server) {
	p.conns = make(map[net.Conn]struct{})
	handler := srv.Handler
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			p.add(c)
		case http.StateClosed, http.StateHijacked:
			p.remove(c)
		}
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			p.remove(c)
		}
		handler.ServeHTTP(w, r)
	})
}

func (p *pendingConns) add(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *pendingConns) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *pendingConns) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// wait returns when every connection has had a request or is closed, when ctx is done,
// or after firstRequestTimeout.
func (p *pendingConns) wait(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, firstRequestTimeout.Duration())
	defer cancel()
	for p.count() > 0 && gypsumtide.Sleep(waitCtx, firstRequestPollInterval) {
	}
}
