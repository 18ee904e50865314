package runner

import (
	"context"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// memoryStore is a worker store in memory.
type memoryStore struct {
	mu   sync.Mutex
	info *gypsumtide.WorkerInfo
}

func (m *memoryStore) SaveWorker(_ context.Context, _ string, info gypsumtide.WorkerInfo) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.info = &info
	return nil
}
func (m *memoryStore) MarkStoredJobs(context.Context, string) error { return nil }
func (m *memoryStore) LoadWorker(context.Context, string) (*gypsumtide.WorkerInfo, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.info, false, nil
}

func (m *memoryStore) saved() *gypsumtide.WorkerInfo {
	info, _, _ := m.LoadWorker(context.Background(), "")
	return info
}

// answeringWorker is a worker without runs that answers every call.
type answeringWorker struct{}

func (answeringWorker) Start(context.Context, gypsumtide.Incarnation, gypsumtide.RunOrder) (gypsumtide.Millis, error) {
	return 1, nil
}
func (answeringWorker) Stop(context.Context, gypsumtide.Incarnation, gypsumtide.RunRef, uint64) error {
	return nil
}
func (answeringWorker) Renew(ctx context.Context, _ gypsumtide.Incarnation, r gypsumtide.RenewRequest) (gypsumtide.RenewResponse, error) {
	gypsumtide.Sleep(ctx, r.Wait)
	return gypsumtide.RenewResponse{StartTime: testIncarnation.StartTime, Clock: 5000}, nil
}

// Guards against a restarted agent that uses a worker which has deregistered and still
// answers for a while. Heartbeats that said that it drains may have been lost.
func TestRestartAfterDeregistration(t *testing.T) {
	Convey("Given an agent whose worker is saved", t, func() {
		store := &memoryStore{}
		start := func() (agent *Agent, stop func()) {
			agent = NewAgent(Config{Name: "agent", Lease: 1000, WorkerStore: store, Connect: func(string) gypsumtide.Worker { return answeringWorker{} }}, gypsumtide.NewSystemClock(), discardLogger{}, metrics.NewSet())
			ctx, cancel := context.WithCancel(context.Background())
			done := group.Go(ctx, agent.Run)
			return agent, func() { cancel(); <-done }
		}
		accepting := func(a *Agent) bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.state.WorkerReport(a.clock.Now()).Accepting
		}
		known := func(a *Agent) bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.state.Incarnation() == testIncarnation && !a.state.syncing
		}
		agent, stop := start()
		agent.Heartbeat(testInfo(testIncarnation))
		So(eventually(func() bool { return accepting(agent) && store.saved() != nil }), ShouldBeTrue)

		Convey("A restarted agent uses it at once", func() {
			stop()
			agent, stop = start()
			So(eventually(func() bool { return accepting(agent) }), ShouldBeTrue)
			stop()
		})
		Convey("A restarted agent does not use it once it has deregistered", func() {
			agent.WorkerDeregistered(testIncarnation.ID)
			So(eventually(func() bool { return store.saved().Draining }), ShouldBeTrue)
			stop()
			agent, stop = start()
			So(eventually(func() bool { return known(agent) }), ShouldBeTrue)
			So(accepting(agent), ShouldBeFalse)
			stop()
		})
	})
}
