package stored

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// panickingLogger panics at one kind of decision.
type panickingLogger string

func (l panickingLogger) Decision(kind string, _ ...any) {
	if kind == string(l) {
		panic("odd request")
	}
}

// Guards against a panic in one request that leaves the partitions locked, so that every other
// request and the handover of partitions hang.
func TestPanicInRequest(t *testing.T) {
	Convey("After a panic in a submission other requests are served", t, func() {
		log := newMemoryLog()
		log.assign("a")
		m := NewPartitionManager(Config{Member: "a", OrphanedRunTimeout: 1000}, log, newFakeExecutor(), gypsumtide.NewSystemClock(), panickingLogger("job-repeated"), metrics.NewSet())
		inUse := make(chan struct{})
		close(inUse)
		ctx, cancel := context.WithCancel(context.Background())
		ended := group.Go(ctx, func(ctx context.Context) error { return m.Run(ctx, inUse) })
		Reset(func() {
			cancel()
			So(<-ended, ShouldBeNil)
		})
		(&testManager{PartitionManager: m}).waitFor("partitions", func() bool { return len(m.ServedPartitions()) == log.partitionCount })
		job := gypsumtide.JobRequest{ID: "00000000000000ab", Steps: []gypsumtide.JobStep{{Tasks: 1}}}
		So(m.Submit(context.Background(), job, gypsumtide.QueueRoute{}), ShouldBeNil)
		So(func() { _ = m.Submit(context.Background(), job, gypsumtide.QueueRoute{}) }, ShouldPanic)
		_, err := m.State(context.Background(), job.ID)
		So(err, ShouldBeNil)
	})
}
