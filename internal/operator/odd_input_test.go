package operator

import (
	"context"
	"math"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a publish that no node can read, and against a history that grows beyond the
// size of a record of the log.
func TestOddPublish(t *testing.T) {
	Convey("An odd publish is refused and the next one is accepted", t, func() {
		e := startTestEntry(t, true)
		const text = "kind: pool\nname: p\n"
		for _, author := range []string{"\xff\xfe", strings.Repeat("a", maxAuthorBytes+1)} {
			_, err := e.client.Publish(context.Background(), 0, []byte(text), author)
			So(clientProblem(err).Status, ShouldEqual, http.StatusBadRequest)
		}
		for _, objects := range []string{strings.Repeat("[", 100_000), "kind: limit\nname: l\nrate: 1e400\n", "\xff\xfe\x00"} {
			_, err := e.client.Publish(context.Background(), 0, []byte(objects), "a")
			So(clientProblem(err).Status, ShouldEqual, http.StatusUnprocessableEntity)
		}
		_, err := e.client.Publish(context.Background(), math.MaxUint64, []byte(text), "a")
		So(err, ShouldNotBeNil)
		published, err := e.client.Publish(context.Background(), 0, []byte(text), "a")
		So(err, ShouldBeNil)
		So(published.Revision, ShouldEqual, 1)
	})
}
