package journal_test

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-logr/logr"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/standin/platformlog"
)

// recordCount is a StateMachine that counts records.
type recordCount struct{ n int }

func (c *recordCount) Apply(uint64, []byte)      { c.n++ }
func (c *recordCount) Snapshot() ([]byte, error) { return fmt.Append(nil, c.n), nil }
func (c *recordCount) Restore(data []byte) error {
	_, err := fmt.Sscan(string(data), &c.n)
	return err
}

func ExampleFollower() {
	log, err := platformlog.StartLocal(platformlog.DefaultSettings())
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	count := &recordCount{}
	client := journal.NewClient(log.URL(), http.DefaultClient, 0)
	follower := journal.NewFollower(client, "events", count, gypsumtide.NewSystemClock(), logr.Discard())
	done := group.Go(ctx, follower.Run)

	id := journal.NewID()
	fmt.Println(follower.Append(ctx, id, []byte("hello")))
	// After an unknown outcome, a writer may append again under the same id.
	fmt.Println(follower.Append(ctx, id, []byte("hello")))
	follower.View(func() { fmt.Println(count.n, "record") })

	cancel()
	fmt.Println(<-done)
	fmt.Println(log.Stop())
	// Output:
	// <nil>
	// <nil>
	// 1 record
	// context canceled
	// <nil>
}
