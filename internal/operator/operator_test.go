package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/object"
	"gypsumtide/internal/standin/platformlog"
)

// backend is a Backend with two nodes and a settable error.
type backend struct {
	err     error
	actions []string
}

func (b *backend) Nodes(context.Context) ([]Node, error) {
	if b.err != nil {
		return nil, b.err
	}
	return []Node{{Name: "e1", Kind: "entry", State: "live"}, {Name: "a/1", Kind: "agent", State: "missing", Slots: 8}}, nil
}

func (b *backend) Drain(_ context.Context, name string) error { return b.act("drain", name) }

func (b *backend) Retire(_ context.Context, name string) error { return b.act("retire", name) }

func (b *backend) act(action, name string) error {
	if b.err == nil {
		b.actions = append(b.actions, action+" "+name)
	}
	return b.err
}

// entry is the part of an entry that the interface needs, on a real log.
type entry struct {
	log       *platformlog.LocalServer
	publisher *object.Publisher
	backend   *backend
	client    *Client
	url       string
}

// startEntry returns an entry; read is false if it never reads the log.
func startEntry(t *testing.T, read bool) *entry {
	log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 8 << 20})
	So(err, ShouldBeNil)
	clock := gypsumtide.NewSystemClock()
	publication := object.NewConfigurationState()
	follower := journal.New(journal.NewClient(log.URL(), &http.Client{}, 200), "configuration", publication, clock, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := group.Go(ctx, func(ctx context.Context) error {
		if !read {
			return nil
		}
		return follower.Run(ctx)
	})
	t.Cleanup(func() { cancel(); <-done; _ = log.Stop() })
	if read {
		So(follower.AwaitReady(ctx), ShouldBeNil)
	}
	e := &entry{log: log, publisher: object.NewPublisher(follower, publication, clock), backend: &backend{}}
	h := NewHandler(e.publisher, e.backend, logr.Discard())
	h.timeout = 400 * time.Millisecond
	mux := http.NewServeMux()
	h.Register(mux, func(next http.HandlerFunc) http.HandlerFunc { return next })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.url = server.URL
	e.client = NewClient(server.URL+"/", server.Client(), "key")
	return e
}

// problemIn returns the problem in an error of the client.
func problemIn(err error) *Problem {
	var p *Problem
	if !errors.As(err, &p) {
		return &Problem{Detail: fmt.Sprint(err)}
	}
	return p
}

// TestConfiguration guards against a publish that is accepted over another
// revision than the operator saw, or refused without all the reasons.
func TestConfiguration(t *testing.T) {
	ctx := context.Background()
	Convey("An entry without a publish has revision 0 and serves any service", t, func() {
		e := startEntry(t, true)
		c, err := e.client.Configuration(ctx)
		So(err, ShouldBeNil)
		So(c, ShouldResemble, ConfigurationResponse{})
		x, err := e.client.Explain(ctx, "any", "")
		So(err, ShouldBeNil)
		So(x.Pool.Name, ShouldEqual, object.DefaultPool)
		h, err := e.client.History(ctx)
		So(err, ShouldBeNil)
		So(h, ShouldBeEmpty)
	})
	Convey("A publish is in force, in the history and in the explanation", t, func() {
		e := startEntry(t, true)
		text := "kind: pool\nname: p\n---\nkind: service\nname: s\npool: p\n"
		a, err := e.client.Publish(ctx, 0, []byte(text), "ann b")
		So(err, ShouldBeNil)
		So(a.Revision, ShouldEqual, 1)
		c, err := e.client.Configuration(ctx)
		So(err, ShouldBeNil)
		So(c.Revision, ShouldEqual, 1)
		So(c.Objects, ShouldEqual, text)
		So(c.Author, ShouldEqual, "ann b")
		x, err := e.client.Explain(ctx, "s", "t")
		So(err, ShouldBeNil)
		So(x.Revision, ShouldEqual, 1)
		So(x.Pool.Name, ShouldEqual, "p")

		_, err = e.client.Publish(ctx, 0, nil, "ben")
		p := problemIn(err)
		So(p.Status, ShouldEqual, http.StatusConflict)
		So(p.HasType(ProblemConflict), ShouldBeTrue)
		So(*p.Revision, ShouldEqual, 1)
		So(p.Step, ShouldEqual, "publish configuration")
		_, err = e.client.Publish(ctx, 7, nil, "ben")
		So(problemIn(err).HasType(ProblemConflict), ShouldBeTrue)

		h, err := e.client.History(ctx)
		So(err, ShouldBeNil)
		So(h, ShouldHaveLength, 2)
		So(h[0].Accepted, ShouldBeTrue)
		So(h[1].Accepted, ShouldBeFalse)
	})
	Convey("Of two racing publishes one is told a conflict", t, func() {
		e := startEntry(t, true)
		publish := func(ctx context.Context) error {
			_, err := e.client.Publish(ctx, 0, nil, "x")
			return err
		}
		first, second := group.Go(ctx, publish), group.Go(ctx, publish)
		errs := []error{<-first, <-second}
		So((errs[0] == nil) != (errs[1] == nil), ShouldBeTrue)
		So(problemIn(errors.Join(errs...)).HasType(ProblemConflict), ShouldBeTrue)
	})
	Convey("An invalid set is refused with every error", t, func() {
		e := startEntry(t, true)
		_, err := e.client.Publish(ctx, 0, []byte("kind: pool\nname: p\nqueu: fair\n---\nkind: x\n"), "ann")
		p := problemIn(err)
		So(p.Status, ShouldEqual, http.StatusUnprocessableEntity)
		So(p.Errors, ShouldHaveLength, 2)
		So(p.Errors[0].Line, ShouldEqual, 3)
		So(p.Error(), ShouldContainSubstring, "objects:5: unknown kind")
		So(e.publisher.History(), ShouldBeEmpty)
	})
	for _, c := range []struct {
		name   string
		faults platformlog.Faults
		kind   string
		status int
	}{
		{"answer lost", platformlog.Faults{LoseAnswers: 1}, "", 200},
		{"down", platformlog.Faults{Down: true}, ProblemOutcomeUnknown, 504},
		{"hang", platformlog.Faults{Hang: true}, ProblemOutcomeUnknown, 504},
		{"unreachable", platformlog.Faults{}, ProblemUnavailable, 503},
	} {
		Convey("Publish with log fault: "+c.name, t, func() {
			e := startEntry(t, true)
			So(e.log.SetFaults(c.faults), ShouldBeNil)
			if c.kind == ProblemUnavailable {
				So(e.log.Stop(), ShouldBeNil)
			}
			_, err := e.client.Publish(ctx, 0, nil, "ann")
			if c.kind == "" {
				So(err, ShouldBeNil)
				return
			}
			p := problemIn(err)
			So(p.HasType(c.kind), ShouldBeTrue)
			So(p.Status, ShouldEqual, c.status)
			So(p.Peer, ShouldStartWith, "http://127.0.0.1:")
			So(p.Step, ShouldEqual, "journal: append")
			_, err = e.client.Configuration(ctx)
			So(err, ShouldBeNil)
		})
	}
	Convey("An entry that has not read the configuration does not tell a revision", t, func() {
		e := startEntry(t, false)
		for _, path := range []string{"GET /v1/configuration", "PUT /v1/configuration?base=0", "GET /v1/configuration/history", "GET /v1/explain?service=s"} {
			method, path, _ := strings.Cut(path, " ")
			p := problemIn(e.client.call(ctx, method, path, nil, nil, nil))
			So(p.HasType(ProblemUnavailable), ShouldBeTrue)
			So(p.Status, ShouldEqual, http.StatusServiceUnavailable)
		}
	})
}

// TestRequests guards the statuses and problem types that clients rely on.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		kind                     string
	}{
		{"no base", "PUT", "/v1/configuration", "", 400, ProblemBadRequest},
		{"bad base", "PUT", "/v1/configuration?base=-1", "", 400, ProblemBadRequest},
		{"too large", "PUT", "/v1/configuration?base=0", strings.Repeat("#", maxObjectBytes+1), 413, ProblemTooLarge},
		{"no service", "GET", "/v1/explain?team=t", "", 400, ProblemBadRequest},
	} {
		Convey("Request: "+c.name, t, func() {
			e := startEntry(t, true)
			err := e.client.call(context.Background(), c.method, c.path, nil, []byte(c.body), nil)
			So(problemIn(err).Status, ShouldEqual, c.status)
			So(problemIn(err).HasType(c.kind), ShouldBeTrue)
		})
	}
}

// TestNodes guards against an action that reaches another node, or whose
// failure is not told with its step and peer.
func TestNodes(t *testing.T) {
	ctx := context.Background()
	Convey("Nodes are listed and acted upon by name", t, func() {
		e := startEntry(t, true)
		nodes, err := e.client.Nodes(ctx)
		So(err, ShouldBeNil)
		So(nodes, ShouldHaveLength, 2)
		So(nodes[1].Slots, ShouldEqual, 8)
		So(e.client.Drain(ctx, "e1"), ShouldBeNil)
		So(e.client.Retire(ctx, "a/1"), ShouldBeNil)
		So(e.backend.actions, ShouldResemble, []string{"drain e1", "retire a/1"})
	})
	for _, c := range []struct {
		err    error
		status int
		kind   string
	}{
		{ErrUnknownNode, 404, ProblemUnknownNode},
		{ErrRefused, 409, ProblemRefused},
		{ErrUnavailable, 503, ProblemUnavailable},
		{gypsumtide.ErrAppendOutcomeUnknown, 504, ProblemOutcomeUnknown},
		{context.DeadlineExceeded, 504, ProblemOutcomeUnknown},
		{errors.New("other"), 500, ProblemInternal},
	} {
		Convey("Backend error: "+c.err.Error(), t, func() {
			e := startEntry(t, true)
			e.backend.err = fmt.Errorf("entry: %w", gypsumtide.NewError("ask", "a1", c.err))
			_, err := e.client.Nodes(ctx)
			for _, err := range []error{err, e.client.Drain(ctx, "a1"), e.client.Retire(ctx, "a1")} {
				p := problemIn(err)
				So(p.Status, ShouldEqual, c.status)
				So(p.HasType(c.kind), ShouldBeTrue)
				So(p.Step, ShouldEqual, "ask")
				So(p.Peer, ShouldEqual, "a1")
				So(p.Error(), ShouldContainSubstring, `step "ask", peer a1`)
			}
		})
	}
	Convey("An answer that is no problem keeps its status", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		p := problemIn(NewClient(server.URL, server.Client(), "").Drain(ctx, "x"))
		So(p.Status, ShouldEqual, 404)
		So(p.Detail, ShouldEqual, "404 page not found")
	})
}
