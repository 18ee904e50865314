package clientlimit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// opened adds n connections to the budget.
func opened(b *budget, now gypsumtide.Millis, n int) []*holding {
	var list []*holding
	for range n {
		h, _, ok := b.open(now, nil)
		So(ok, ShouldBeTrue)
		list = append(list, h)
	}
	return list
}

// Guards against a crowd whose incomplete requests take more memory than the budget, and
// against ordinary requests that are closed in place of the crowd's.
func TestShed(t *testing.T) {
	Convey("With a budget of 1,000,000 bytes", t, func() {
		b := newBudget(poolLimits{connections: 100, cost: 1_000_000})

		Convey("stuck bodies are closed before a request that has just arrived", func() {
			crowd := opened(b, 0, 4)
			for _, h := range crowd {
				b.serve(0, h, 0)
				b.enter(0, h, phaseBody)
				So(b.read(0, h, 80_000, 0), ShouldBeEmpty)
			}
			ordinary := opened(b, 2000, 1)[0]
			closed := b.read(2000, ordinary, 20_000, 10)
			So(closed, ShouldResemble, []*holding{crowd[3]})
			So(b.cost, ShouldBeLessThanOrEqualTo, 875_000)
		})
		Convey("the newest of equal connections is closed first", func() {
			crowd := opened(b, 0, 5)
			for _, h := range crowd[:4] {
				So(b.read(0, h, 80_000, 0), ShouldBeEmpty)
			}
			So(b.read(0, crowd[4], 80_000, 0), ShouldResemble, []*holding{crowd[4], crowd[3]})
		})
		Convey("short header lines cost more than a long one", func() {
			crowd := opened(b, 0, 2)
			So(b.read(0, crowd[0], 15_000, 3000), ShouldBeEmpty)
			So(b.read(0, crowd[1], 15_000, 1), ShouldBeEmpty)
			So(crowd[0].cost, ShouldBeGreaterThan, 10*crowd[1].cost)
		})
		Convey("a single request is never closed", func() {
			h := opened(b, 0, 1)[0]
			So(b.read(0, h, 400_000, 0), ShouldBeEmpty)
			So(b.read(0, h, 400_000, 0), ShouldBeEmpty)
		})
		Convey("requests that handlers serve are not closed, but new ones are refused", func() {
			crowd := opened(b, 0, 3)
			for _, h := range crowd {
				b.serve(0, h, 0)
				b.enter(0, h, phaseBody)
				b.read(0, h, 100_000, 0)
				b.endBody(h)
			}
			next := opened(b, 0, 1)[0]
			So(b.read(0, next, 40_000, 10), ShouldBeEmpty)
			b.serve(0, next, 0)
			_, refused := b.refuse(10)
			So(refused, ShouldBeFalse)
			r, refused := b.refuse(3000)
			So(refused, ShouldBeTrue)
			So(r, ShouldEqual, reasonLines)
			b.enter(0, crowd[0], phaseServing) // Its body has been decoded.
			_, refused = b.refuse(maxLinesUnderPressure)
			So(refused, ShouldBeFalse)
		})
		Convey("everything that was counted is given back", func() {
			crowd := opened(b, 0, 3)
			for _, h := range crowd {
				b.read(0, h, 10_000, 10)
				b.serve(0, h, 500)
			}
			So(b.cost, ShouldEqual, 1500)
			b.enter(0, crowd[0], phaseWaiting)
			b.enter(0, crowd[1], phaseSession)
			b.remove(crowd[2])
			b.remove(crowd[2])
			So(b.cost, ShouldEqual, 0)
			So(len(b.holdings), ShouldEqual, 2)
			b.enter(0, crowd[2], phaseBody)
			So(b.read(0, crowd[2], 10, 0), ShouldBeEmpty)
			So(b.cost, ShouldEqual, 0)
		})
	})
}

// Guards against idle connections that keep others out, and against sessions or requests in
// progress that are closed for new connections.
func TestRoom(t *testing.T) {
	Convey("With four connections that are all in use", t, func() {
		b := newBudget(poolLimits{connections: 4, cost: 1_000_000})
		all := opened(b, 0, 4)
		first, idle, session, serving := all[0], all[1], all[2], all[3]
		b.serve(0, idle, 0)
		b.enter(0, idle, phaseWaiting)
		b.serve(0, session, 0)
		b.enter(0, session, phaseSession)
		b.serve(0, serving, 0)

		Convey("a new one is closed until the others have waited long enough", func() {
			_, _, ok := b.open(minFirstWait-1, nil)
			So(ok, ShouldBeFalse)
			_, closed, ok := b.open(minFirstWait+roomRetry, nil)
			So(ok, ShouldBeTrue)
			So(closed, ShouldResemble, []*holding{first})
		})
		Convey("connections without a request are closed first, sessions and requests never", func() {
			var closed []*holding
			for range 5 {
				_, c, _ := b.open(minIdleWait, nil)
				closed = append(closed, c...)
			}
			So(closed, ShouldResemble, []*holding{first, idle})
			So(len(b.holdings), ShouldEqual, 4)
		})
		Convey("a body that has stopped is closed before a connection between two requests", func() {
			b.enter(0, serving, phaseBody)
			_, _, _ = b.open(minStallForRoom, nil)
			_, closed, ok := b.open(minStallForRoom, nil)
			So(ok, ShouldBeTrue)
			So(closed, ShouldResemble, []*holding{serving})
		})
	})
}

// Guards against bodies that arrive so slowly that they are held for ever, and against a legal
// body on a slow link that is closed.
func TestRemoveSlow(t *testing.T) {
	Convey("Only a body below the least rate is closed", t, func() {
		b := newBudget(poolLimits{connections: 4, cost: 1 << 30})
		all := opened(b, 0, 3)
		for _, h := range all[:2] {
			b.serve(0, h, 0)
			b.enter(0, h, phaseBody)
		}
		for now := gypsumtide.Millis(0); now <= 25_000; now += 1000 {
			b.read(now, all[0], 16<<10, 0)
			b.read(now, all[1], 1, 0)
			b.read(now, all[2], 1, 1)
		}
		So(b.removeSlow(bodyGrace), ShouldBeEmpty)
		So(b.removeSlow(25_000), ShouldResemble, []*holding{all[1]})
	})
}

// Guards against default limits that turn away clients within the operator's limits on the
// smallest machine of an entry, and against shares that leave the process no descriptors.
func TestLimits(t *testing.T) {
	Convey("An entry of 184 MB and 4,100 descriptors serves 2,000 callers", t, func() {
		l := Limits{MemoryMb: DefaultMemoryMb, MaxFds: 4100}
		callers := l.pool(ShareClients)
		So(callers.connections, ShouldBeGreaterThanOrEqualTo, 2000)
		total := 0
		for _, s := range []Share{ShareClients, ShareSessions, ShareProbes, ShareProbes} {
			total += l.pool(s).connections
		}
		So(total, ShouldBeLessThanOrEqualTo, 4100-4100/fdReserveDivisor-fdReserve)

		Convey("each with a request of 1 KB in progress, beside one of the largest legal size", func() {
			b := newBudget(callers)
			for range 2000 {
				h, _, ok := b.open(0, nil)
				So(ok, ShouldBeTrue)
				So(len(b.read(0, h, 1000, 12)), ShouldEqual, 0)
			}
			h := opened(b, 0, 1)[0]
			So(b.read(0, h, MaxHeadBytes, MaxHeadBytes/4), ShouldBeEmpty)
			b.serve(0, h, 100)
			_, refused := b.refuse(MaxHeadBytes / 4)
			So(refused, ShouldBeFalse)
			b.enter(0, h, phaseBody)
			So(b.read(0, h, 262_144, 0), ShouldBeEmpty)
		})
	})

	Convey("Missing limits are those of the smallest machine and of the operating system", t, func() {
		l := Limits{}.withDefaults()
		So(l.MemoryMb, ShouldEqual, DefaultMemoryMb)
		So(l.MaxFds, ShouldBeGreaterThan, 0)
		So(Limits{MaxFds: 1 << 40}.withDefaults().MaxFds, ShouldEqual, l.MaxFds)
	})
}
