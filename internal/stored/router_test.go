package stored

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// fakeActivator is an Activator for a single process. err is the error of
// ActivateStoredJobs.
type fakeActivator struct {
	active, known bool
	err           error
	// activatedElsewhere is set if another entry has just activated stored jobs.
	activatedElsewhere bool
}

func (a *fakeActivator) StoredJobsActive() (active, known bool) { return a.active, a.known }

func (a *fakeActivator) CheckStoredJobs(context.Context) (bool, error) {
	a.active = a.active || a.activatedElsewhere
	return a.active, a.err
}

func (a *fakeActivator) ActivateStoredJobs(context.Context) error {
	a.active = a.err == nil
	return a.err
}

// startRouter starts two entries with a common log. It returns the Router of an entry
// without partitions, the PartitionManager of the owner of all partitions, which serves
// forwarded requests over HTTP, and the log.
func startRouter(t *testing.T, activator *fakeActivator) (*Router, *testManager, *memoryLog) {
	log := newMemoryLog()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	owner := startOwner(t, log, MemberName(strings.TrimPrefix(server.URL, "http://"), "i"))
	NewRouter(owner.PartitionManager, log, activator, owner.clock, discardLogger{}).RegisterHandlers(mux)
	other := startManager(t, log, MemberName("127.0.0.1:1", "j"))
	return NewRouter(other.PartitionManager, log, activator, other.clock, discardLogger{}), owner, log
}

func contextWithTimeout(ms gypsumtide.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), ms.Duration())
}

// Guards against requests that do not reach the owner, and against a refusal of a job that
// the owner may have accepted.
func TestRouter(t *testing.T) {
	submit := func(r *Router, id string) error {
		ctx, cancel := contextWithTimeout(2500)
		defer cancel()
		j := testJob(id, 1)
		return r.Submit(ctx, j.request, j.route)
	}
	var refused *RefusedError

	Convey("Requests reach the owner of the partition", t, func() {
		r, owner, _ := startRouter(t, &fakeActivator{})
		So(submit(r, "a"), ShouldBeNil)
		_, ok := owner.executor.adoptedJob("a")
		So(ok, ShouldBeTrue)
		state, err := r.State(context.Background(), "a")
		So(state, ShouldEqual, gypsumtide.JobPending)
		So(err, ShouldBeNil)
		state, _ = r.State(context.Background(), "b")
		So(state, ShouldBeEmpty)
		state, _ = r.Cancel(context.Background(), "a")
		So(state, ShouldEqual, gypsumtide.JobCancelled)
	})

	Convey("A job that the log refuses is refused at once", t, func() {
		r, _, log := startRouter(t, &fakeActivator{active: true})
		log.setAppendFailure(func() (error, bool) { return gypsumtide.ErrNotAppended, false })
		begin := time.Now()
		So(errors.As(submit(r, "a"), &refused), ShouldBeTrue)
		So(time.Since(begin), ShouldBeLessThan, 500*time.Millisecond)
	})

	Convey("A job whose owner cannot be reached is refused before the request times out", t, func() {
		r, _, log := startRouter(t, &fakeActivator{active: true})
		log.assign("127.0.0.1:1|gone")
		begin := time.Now()
		So(errors.As(submit(r, "a"), &refused), ShouldBeTrue)
		So(time.Since(begin), ShouldBeLessThan, 2*time.Second)
	})

	// Guards against refusing a job that the owner may still accept.
	Convey("The outcome is unknown if the log does not answer the owner", t, func() {
		r, _, log := startRouter(t, &fakeActivator{active: true})
		log.setAppendFailure(func() (error, bool) { return errNoAnswer, true })
		So(submit(r, "a"), ShouldEqual, ErrOutcomeUnknown)
	})

	// Guards against denying the first stored job, which another entry has just accepted.
	Convey("An entry that has not heard of stored jobs checks before it denies one", t, func() {
		r, owner, _ := startRouter(t, &fakeActivator{known: true, activatedElsewhere: true})
		So(owner.submit("a"), ShouldBeNil)
		state, err := r.State(context.Background(), "a")
		So(err, ShouldBeNil)
		So(state, ShouldEqual, gypsumtide.JobPending)
	})
	Convey("If it cannot check, the request is refused", t, func() {
		r, _, _ := startRouter(t, &fakeActivator{known: true, err: errTest})
		_, err := r.State(context.Background(), "a")
		So(errors.As(err, &refused), ShouldBeTrue)
	})

	Convey("Before the first stored job, requests find no job or are refused", t, func() {
		log := newMemoryLog()
		m := NewPartitionManager(Config{}, log, newFakeExecutor(), gypsumtide.NewSystemClock(), discardLogger{}, metrics.NewSet())
		for _, c := range []struct {
			name        string
			known       bool
			wantRefused bool
		}{{"no job exists", true, false}, {"an entry refuses to answer if it cannot tell", false, true}} {
			_, err := NewRouter(m, log, &fakeActivator{known: c.known}, m.clock, discardLogger{}).State(context.Background(), "a")
			So(errors.As(err, &refused), ShouldEqual, c.wantRefused)
		}
		So(errors.As(submit(NewRouter(m, log, &fakeActivator{err: errTest}, m.clock, discardLogger{}), "a"), &refused), ShouldBeTrue)
	})
}
