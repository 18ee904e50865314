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

// fakeBackend is a Backend with two nodes. It records actions, or fails with err.
type fakeBackend struct {
	err     error
	actions []string
}

func (b *fakeBackend) Nodes(context.Context) ([]Node, error) {
	if b.err != nil {
		return nil, b.err
	}
	return []Node{{Name: "e1", Kind: "entry", State: "ready"}, {Name: "a/1", Kind: "agent", State: "unreachable", Slots: 8}}, nil
}

func (b *fakeBackend) Drain(_ context.Context, name string) error { return b.act("drain", name) }

func (b *fakeBackend) Retire(_ context.Context, name string) error { return b.act("retire", name) }

func (b *fakeBackend) act(action, name string) error {
	if b.err == nil {
		b.actions = append(b.actions, action+" "+name)
	}
	return b.err
}

// testEntry consists of a log, a publisher, a fake backend and an HTTP server with the
// handler under test.
type testEntry struct {
	log       *platformlog.LocalServer
	publisher *object.Publisher
	backend   *fakeBackend
	client    *Client
	url       string
}

// startTestEntry starts a testEntry. If readLog is false, the entry never reads the
// configuration from the log.
func startTestEntry(t *testing.T, readLog bool) *testEntry {
	log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 8 << 20})
	So(err, ShouldBeNil)
	clock := gypsumtide.NewSystemClock()
	state := object.NewConfigurationState()
	follower := journal.NewFollower(journal.NewClient(log.URL(), &http.Client{}, 200), "configuration", state, clock, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := group.Go(ctx, func(ctx context.Context) error {
		if !readLog {
			return nil
		}
		return follower.Run(ctx)
	})
	t.Cleanup(func() { cancel(); <-done; _ = log.Stop() })
	if readLog {
		So(follower.AwaitReady(ctx), ShouldBeNil)
	}
	e := &testEntry{log: log, publisher: object.NewPublisher(follower, state, clock), backend: &fakeBackend{}}
	h := NewHandler(e.publisher, e.backend, logr.Discard())
	h.timeout = 400 * time.Millisecond
	mux := http.NewServeMux()
	h.RegisterHandlers(mux, func(next http.HandlerFunc) http.HandlerFunc { return next })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.url = server.URL
	e.client = NewClient(server.URL+"/", server.Client(), "key")
	return e
}

// clientProblem returns the problem that an error of the client wraps, or one with
// only the text of the error.
func clientProblem(err error) *Problem {
	var p *Problem
	if !errors.As(err, &p) {
		return &Problem{Detail: fmt.Sprint(err)}
	}
	return p
}

// TestConfiguration guards against a publish that replaces a revision other than the
// one the operator saw, and against a rejection that does not list every error.
func TestConfiguration(t *testing.T) {
	ctx := context.Background()
	Convey("Before the first publish the revision is 0 and any service is explained", t, func() {
		e := startTestEntry(t, true)
		c, err := e.client.Configuration(ctx)
		So(err, ShouldBeNil)
		So(c, ShouldResemble, ConfigurationResponse{})
		explanation, err := e.client.Explain(ctx, "any", "")
		So(err, ShouldBeNil)
		So(explanation.Pool.Name, ShouldEqual, object.DefaultPool)
		h, err := e.client.History(ctx)
		So(err, ShouldBeNil)
		So(h, ShouldBeEmpty)
	})
	Convey("An accepted publish shows in the configuration, the history and explanations", t, func() {
		e := startTestEntry(t, true)
		text := "kind: pool\nname: p\n---\nkind: service\nname: s\npool: p\n"
		published, err := e.client.Publish(ctx, 0, []byte(text), "ann b")
		So(err, ShouldBeNil)
		So(published.Revision, ShouldEqual, 1)
		c, err := e.client.Configuration(ctx)
		So(err, ShouldBeNil)
		So(c.Revision, ShouldEqual, 1)
		So(c.Objects, ShouldEqual, text)
		So(c.Author, ShouldEqual, "ann b")
		explanation, err := e.client.Explain(ctx, "s", "t")
		So(err, ShouldBeNil)
		So(explanation.Revision, ShouldEqual, 1)
		So(explanation.Pool.Name, ShouldEqual, "p")

		_, err = e.client.Publish(ctx, 0, nil, "ben")
		p := clientProblem(err)
		So(p.Status, ShouldEqual, http.StatusConflict)
		So(p.HasType(ProblemConflict), ShouldBeTrue)
		So(*p.Revision, ShouldEqual, 1)
		So(p.Step, ShouldEqual, "publish configuration")
		_, err = e.client.Publish(ctx, 7, nil, "ben")
		So(clientProblem(err).HasType(ProblemConflict), ShouldBeTrue)

		h, err := e.client.History(ctx)
		So(err, ShouldBeNil)
		So(h, ShouldHaveLength, 2)
		So(h[0].Accepted, ShouldBeTrue)
		So(h[1].Accepted, ShouldBeFalse)
	})
	Convey("Of two concurrent publishes one fails with a conflict", t, func() {
		e := startTestEntry(t, true)
		publish := func(ctx context.Context) error {
			_, err := e.client.Publish(ctx, 0, nil, "x")
			return err
		}
		first, second := group.Go(ctx, publish), group.Go(ctx, publish)
		errs := []error{<-first, <-second}
		So((errs[0] == nil) != (errs[1] == nil), ShouldBeTrue)
		So(clientProblem(errors.Join(errs...)).HasType(ProblemConflict), ShouldBeTrue)
	})
	Convey("The rejection of an invalid set lists every error", t, func() {
		e := startTestEntry(t, true)
		_, err := e.client.Publish(ctx, 0, []byte("kind: pool\nname: p\nqueu: fair\n---\nkind: x\n"), "ann")
		p := clientProblem(err)
		So(p.Status, ShouldEqual, http.StatusUnprocessableEntity)
		So(p.Errors, ShouldHaveLength, 2)
		So(p.Errors[0].Line, ShouldEqual, 3)
		So(p.Error(), ShouldContainSubstring, "objects:5: unknown kind")
		So(e.publisher.History(), ShouldBeEmpty)
	})
	for _, c := range []struct {
		name        string
		faults      platformlog.Faults
		problemType string
		status      int
	}{
		{"responses lost", platformlog.Faults{LoseAnswers: 1}, "", 200},
		{"log down", platformlog.Faults{Down: true}, ProblemOutcomeUnknown, 504},
		{"log hangs", platformlog.Faults{Hang: true}, ProblemOutcomeUnknown, 504},
		{"log unreachable", platformlog.Faults{}, ProblemUnavailable, 503},
	} {
		Convey("Publish with fault: "+c.name, t, func() {
			e := startTestEntry(t, true)
			So(e.log.SetFaults(c.faults), ShouldBeNil)
			if c.problemType == ProblemUnavailable {
				So(e.log.Stop(), ShouldBeNil)
			}
			_, err := e.client.Publish(ctx, 0, nil, "ann")
			if c.problemType == "" {
				So(err, ShouldBeNil)
				return
			}
			p := clientProblem(err)
			So(p.HasType(c.problemType), ShouldBeTrue)
			So(p.Status, ShouldEqual, c.status)
			So(p.Peer, ShouldStartWith, "http://127.0.0.1:")
			So(p.Step, ShouldEqual, "journal: append")
			_, err = e.client.Configuration(ctx)
			So(err, ShouldBeNil)
		})
	}
	Convey("An entry that has not read the configuration responds that it is unavailable", t, func() {
		e := startTestEntry(t, false)
		for _, path := range []string{"GET /v1/configuration", "PUT /v1/configuration?base=0", "GET /v1/configuration/history", "GET /v1/explain?service=s"} {
			method, path, _ := strings.Cut(path, " ")
			p := clientProblem(e.client.call(ctx, method, path, nil, nil, nil))
			So(p.HasType(ProblemUnavailable), ShouldBeTrue)
			So(p.Status, ShouldEqual, http.StatusServiceUnavailable)
		}
	})
}

// TestRequests guards against invalid requests that are accepted, or rejected with
// another status or problem type than clients expect.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		problemType              string
	}{
		{"publish without a base", "PUT", "/v1/configuration", "", 400, ProblemBadRequest},
		{"publish with a negative base", "PUT", "/v1/configuration?base=-1", "", 400, ProblemBadRequest},
		{"publish of too large a set", "PUT", "/v1/configuration?base=0", strings.Repeat("#", maxObjectBytes+1), 413, ProblemTooLarge},
		{"explain without a service", "GET", "/v1/explain?team=t", "", 400, ProblemBadRequest},
	} {
		Convey("Request: "+c.name, t, func() {
			e := startTestEntry(t, true)
			err := e.client.call(context.Background(), c.method, c.path, nil, []byte(c.body), nil)
			So(clientProblem(err).Status, ShouldEqual, c.status)
			So(clientProblem(err).HasType(c.problemType), ShouldBeTrue)
		})
	}
}

// TestNodes guards against an action on the wrong node, and against a failure that is
// reported without its step and peer.
func TestNodes(t *testing.T) {
	ctx := context.Background()
	Convey("Nodes are listed and acted upon by name", t, func() {
		e := startTestEntry(t, true)
		nodes, err := e.client.Nodes(ctx)
		So(err, ShouldBeNil)
		So(nodes, ShouldHaveLength, 2)
		So(nodes[1].Slots, ShouldEqual, 8)
		So(e.client.Drain(ctx, "e1"), ShouldBeNil)
		So(e.client.Retire(ctx, "a/1"), ShouldBeNil)
		So(e.backend.actions, ShouldResemble, []string{"drain e1", "retire a/1"})
	})
	for _, c := range []struct {
		err         error
		status      int
		problemType string
	}{
		{ErrUnknownNode, 404, ProblemUnknownNode},
		{ErrRefused, 409, ProblemRefused},
		{ErrUnavailable, 503, ProblemUnavailable},
		{gypsumtide.ErrAppendOutcomeUnknown, 504, ProblemOutcomeUnknown},
		{context.DeadlineExceeded, 504, ProblemOutcomeUnknown},
		{errors.New("other"), 500, ProblemInternal},
	} {
		Convey("Backend error: "+c.err.Error(), t, func() {
			e := startTestEntry(t, true)
			e.backend.err = fmt.Errorf("entry: %w", gypsumtide.NewError("ask", "a1", c.err))
			_, err := e.client.Nodes(ctx)
			for _, err := range []error{err, e.client.Drain(ctx, "a1"), e.client.Retire(ctx, "a1")} {
				p := clientProblem(err)
				So(p.Status, ShouldEqual, c.status)
				So(p.HasType(c.problemType), ShouldBeTrue)
				So(p.Step, ShouldEqual, "ask")
				So(p.Peer, ShouldEqual, "a1")
				So(p.Error(), ShouldContainSubstring, `step "ask", peer a1`)
			}
		})
	}
	Convey("An error response without a problem body keeps its status", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		p := clientProblem(NewClient(server.URL, server.Client(), "").Drain(ctx, "x"))
		So(p.Status, ShouldEqual, 404)
		So(p.Detail, ShouldEqual, "404 page not found")
	})
}
