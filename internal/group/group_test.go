package group

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a panic in one request that ends the other members of the group.
func TestAddRequest(t *testing.T) {
	Convey("A panic of a request is reported and the group continues", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := New(ctx)
		failures := make(chan error, 2)
		g.AddRequest(func(err error) { failures <- err }, func(context.Context) { panic("odd request") })
		So(errors.Is(<-failures, ErrPanic), ShouldBeTrue)
		So(g.Context().Err(), ShouldBeNil)
		ended := make(chan struct{})
		g.AddRequest(func(err error) { failures <- err }, func(context.Context) { close(ended) })
		<-ended
		So(g.Wait(), ShouldBeNil)
		So(len(failures), ShouldEqual, 0)
	})
}
