package clientlimit

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// connKey is the context key for the Conn of a request.
type connKey struct{}

// Protect makes srv report the phases of its connections, which must come from the Pool's
// listener. It keeps the hooks and the handler that srv has already, and must be called before
// the server starts.
func (p *Pool) Protect(srv *http.Server) {
	srv.MaxHeaderBytes = MaxHeadBytes
	connContext, connState, handler := srv.ConnContext, srv.ConnState, srv.Handler
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		c := connOf(conn)
		switch {
		case c == nil:
		case state == http.StateIdle:
			p.enter(c, phaseWaiting)
		case state == http.StateHijacked:
			p.enter(c, phaseSession)
			p.enlargeReceive(c, maxSocketBuffer)
			p.enlargeSend(c, maxSocketBuffer)
		}
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context().Value(connKey{}))
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		p.serve(c, handler, w, r)
	})
}

// Parts of the response to refused requests. The body has the fields of the platform's and of the
// own interface's refusals.
const (
	// retrySpreadSeconds is the longest time to retry. The shortest is 1 s, and each client gets
	// a random one, so that a crowd does not return at once.
	retrySpreadSeconds = 3
	refusalContentType = "application/problem+json"
	refusalBody        = `{"type":"too-many-clients","status":503,"outcome":"not-run","reason":"too many clients"}`
)

// serve passes a request to the handler, with its head reduced to what handlers read.
func (p *Pool) serve(c *Conn, handler http.Handler, w http.ResponseWriter, r *http.Request) {
	lines := reduceHeader(r)
	if p.beginServing(c, lines, keptCost(r)) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", strconv.Itoa(1+rand.IntN(retrySpreadSeconds)))
		w.Header().Set("Content-Type", refusalContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, refusalBody) // The client may have disconnected.
		p.enter(c, phaseBody)                 // The server may read the body.
		return
	}
	if r.Body == nil || r.Body == http.NoBody {
		handler.ServeHTTP(w, r)
		return
	}
	reduced := *r // net/http compares the Body of its own request.
	body := &countedBody{ReadCloser: r.Body, conn: c, length: r.ContentLength}
	reduced.Body = body
	defer func() {
		if !body.ended {
			p.enter(c, phaseBody) // The server reads the rest, for which the time is limited too.
		}
	}()
	handler.ServeHTTP(w, &reduced)
}

// BodyDecoded tells the Pool that the handler keeps nothing of the body that it has read. It
// does nothing for a request that was not served through a Pool.
func BodyDecoded(ctx context.Context) {
	if c := connOf(ctx.Value(connKey{})); c != nil {
		c.pool.enter(c, phaseServing)
	}
}

// countedBody tells the Pool while the body is read.
type countedBody struct {
	io.ReadCloser
	conn *Conn
	// length is the announced length, or -1 if there is none.
	length       int64
	begun, ended bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.conn.pool.enter(b.conn, phaseBody)
		b.conn.pool.enlargeReceive(b.conn, b.expected())
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		b.conn.pool.endBody(b.conn)
	}
	return n, err
}

// expected returns the number of bytes of the body that may arrive.
func (b *countedBody) expected() int64 {
	if b.length < 0 {
		return maxSocketBuffer
	}
	return b.length
}

// keptHeaders are the headers that the handlers and the acceptance of sessions read.
var keptHeaders = []string{
	"Accept", "Accept-Encoding", "Authorization", "Connection", "Content-Encoding", "Content-Length", "Content-Type", "Origin",
	"Request-Id", "Upgrade", "User-Agent", "X-Gypsumtide-Deadline-Ms",
}

// keptPrefix is that of the headers with which a session is opened.
const keptPrefix = "Sec-Websocket-"

// maxKeptValues limits the values of a kept header.
const maxKeptValues = 8

// reduceHeader replaces the header of r by one with the kept headers only. It returns the
// number of lines that the header had.
func reduceHeader(r *http.Request) (lines int) {
	kept := make(http.Header)
	for name, values := range r.Header {
		lines += len(values)
		if strings.HasPrefix(name, keptPrefix) || slices.Contains(keptHeaders, name) {
			// The values of all headers share an array.
			kept[name] = slices.Clone(values[:min(len(values), maxKeptValues)])
		}
	}
	r.Header = kept
	return lines
}

// keptCost returns the cost of what is left of the head of a request.
func keptCost(r *http.Request) int64 {
	cost := 2 * len(r.RequestURI)
	for name, values := range r.Header {
		cost += len(name)
		for _, v := range values {
			cost += len(v)
		}
	}
	return int64(cost)
}
