package agent

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/standin/worker"
	"gypsumtide/internal/wire"
)

// Guards against lost, doubled or crossed answers on the whole way from a
// dispatch to an upstream and back.
func TestEndToEnd(t *testing.T) {
	Convey("40 tasks of a submission end with their own answers", t, func() {
		e := newFakeEntry(t, "entry")
		a, _ := startAgent(t, nil, e)
		w, _ := startWorker(t, a, nil)
		e.announced("upstream", serving(8))
		id := newID(t)
		for i := range uint32(40) {
			e.dispatch(dispatch(wire.TaskRef{Submission: id, Task: i, Epoch: 1}, fmt.Sprintf(`{"run-ms":5,"echo":%d}`, i)))
		}
		for i := range uint32(40) {
			r := e.result(wire.TaskRef{Submission: id, Task: i}, 1)
			So(r.State, ShouldEqual, wire.TaskDone)
			So(r.Status, ShouldEqual, 200)
			So(r.Epoch, ShouldEqual, 1)
			var body worker.Answer
			So(json.Unmarshal(r.Body, &body), ShouldBeNil)
			So(body.Submission, ShouldEqual, id.String())
			So(body.Task, ShouldEqual, i)
			So(string(body.Echo), ShouldEqual, fmt.Sprint(i))
		}
		So(w.Starts(), ShouldEqual, 40)
		So(a.Ledger().Entries(), ShouldEqual, 40)
	})
}
