package object

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/standin/platformlog"
)

// TestConcurrentPublishers guards against a revision that is reported as published to
// two publishers, and against nodes with different histories, while the faults of the
// log change.
func TestConcurrentPublishers(t *testing.T) {
	Convey("Three nodes that publish through a faulty log agree on the history", t, func() {
		log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 1 << 20, AppendsPerSecond: 200})
		So(err, ShouldBeNil)
		defer func() { So(log.Stop(), ShouldBeNil) }()
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		successes := map[uint64]int{}
		var nodes []*Publisher
		var running, publishing []<-chan error
		clock := gypsumtide.NewSystemClock()
		deadline := clock.Now() + 1500
		for i := range 3 {
			node := newTestPublisher(log)
			nodes = append(nodes, node)
			running = append(running, group.Go(ctx, node.follower.Run))
			publishing = append(publishing, group.Go(ctx, func(ctx context.Context) error {
				for n := 0; clock.Now() < deadline; n++ {
					pctx, pcancel := context.WithTimeout(ctx, 150*time.Millisecond)
					revision, err := node.Publish(pctx, node.Current().Number(), fmt.Appendf(nil, "# %d %d\n", i, n), "a")
					pcancel()
					if err == nil {
						mu.Lock()
						successes[revision]++
						mu.Unlock()
					}
				}
				return nil
			}))
		}
		for clock.Now() < deadline {
			faults := platformlog.Faults{Down: rand.IntN(6) == 0, Hang: rand.IntN(6) == 0, LoseAnswers: 0.3, SlowMillis: rand.Int64N(20)}
			So(log.SetFaults(faults), ShouldBeNil)
			time.Sleep(60 * time.Millisecond)
		}
		So(log.SetFaults(platformlog.Faults{}), ShouldBeNil)
		for _, done := range publishing {
			So(<-done, ShouldBeNil)
		}
		// Appends that the log has delayed may still be written. After that every
		// node has to read the stream to its end.
		time.Sleep(300 * time.Millisecond)
		_, end := log.Bounds("configuration")
		for _, n := range nodes {
			for n.follower.Position() < end {
				time.Sleep(10 * time.Millisecond)
			}
			So(n.History(), ShouldResemble, nodes[0].History())
			So(n.Current().Number(), ShouldEqual, nodes[0].Current().Number())
		}
		So(successes, ShouldNotBeEmpty)
		for revision, n := range successes {
			So(n, ShouldEqual, 1)
			So(revision, ShouldBeLessThanOrEqualTo, nodes[0].Current().Number())
		}
		cancel()
		for _, done := range running {
			So(errors.Is(<-done, context.Canceled), ShouldBeTrue)
		}
	})
}

// TestDocumentedExample guards against an example in docs/objects.md that is invalid or
// does not select what the page says.
func TestDocumentedExample(t *testing.T) {
	Convey("The documented example is a valid set", t, func() {
		data, err := os.ReadFile("../../docs/objects.md")
		So(err, ShouldBeNil)
		_, rest, _ := strings.Cut(string(data), "```yaml\n")
		text, _, ok := strings.Cut(rest, "```")
		So(ok, ShouldBeTrue)
		resolved := mustParse(text).Route("stock-check", "shop")
		So(resolved.Route(), ShouldEqual, "stock-check-shop")
		So(resolved.Pool().Overcommit, ShouldEqual, 0)
		So(resolved.Limits(), ShouldHaveLength, 1)
	})
}
