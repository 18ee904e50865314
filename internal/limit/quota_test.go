package limit

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

func mustQuotas(cfg Config) *Quotas {
	q, err := NewQuotas(cfg, Options{Home: "home-0", Seed: 1}, 0)
	So(err, ShouldBeNil)
	return q
}

// Guards against configurations that would cause an endless loop, leave a team without
// its limit, or define a limit twice or with a negative rate.
func TestConfigCheck(t *testing.T) {
	tests := []struct {
		name string
		cfg  Config
		want string
	}{
		{"valid", Config{Limits: []Limit{{Name: "a", Parent: "b", Rate: 1}, {Name: "b"}}, Teams: map[string]string{"t": "a"}, Default: "b"}, ""},
		{"no name", Config{Limits: []Limit{{}}}, "must not be empty"},
		{"twice", Config{Limits: []Limit{{Name: "a"}, {Name: "a"}}}, "defined twice"},
		{"negative", Config{Limits: []Limit{{Name: "a", Rate: -1}}}, "not negative"},
		{"unknown parent", Config{Limits: []Limit{{Name: "a", Parent: "b"}}}, "unknown parent b"},
		{"cycle", Config{Limits: []Limit{{Name: "a", Parent: "b"}, {Name: "b", Parent: "a"}}}, "cycle"},
		{"unknown limit", Config{Teams: map[string]string{"t": "a"}}, "unknown limit a"},
		{"unknown default", Config{Default: "a"}, "unknown limit a"},
	}
	Convey("Check", t, func() {
		for _, tt := range tests {
			err := tt.cfg.Check()
			if tt.want == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, tt.want)
			_, err = NewQuotas(tt.cfg, Options{}, 0)
			So(err, ShouldNotBeNil)
		}
	})
}

// Guards against a refusal that charges some limits of the chain, and against
// children that together exceed their parent's limit.
func TestChain(t *testing.T) {
	Convey("With two teams below one parent", t, func() {
		q := mustQuotas(Config{
			Limits: []Limit{{Name: "org", Concurrency: 10}, {Name: "a", Parent: "org", Concurrency: 8}, {Name: "b", Parent: "org", Rate: 100}},
			Teams:  map[string]string{"a": "a", "b": "b"},
		})
		So(q.Admit("a", 8, 1).Admitted(), ShouldBeTrue)
		decision := q.Admit("a", 1, 1)
		So(decision.Admitted(), ShouldBeFalse)
		So(decision.Limit(), ShouldEqual, "a")
		So(decision.RetryAfter(), ShouldBeBetweenOrEqual, concurrencyRetryAfter, 2*concurrencyRetryAfter)
		So(q.Admit("b", 3, 1).Limit(), ShouldEqual, "org")
		So(q.Admit("b", 2, 1).Admitted(), ShouldBeTrue)
		q.Release("a", 8, 2)
		So(q.Admit("b", 8, 2).Admitted(), ShouldBeTrue)
		q.Release("b", 10, 3)
		// The refusal of 3 tasks charged b no tokens: 90 of 100 are left.
		So(q.Admit("a", 8, 3).Admitted(), ShouldBeTrue)
		q.Release("a", 8, 3)
		So(int(q.limits["b"].tokens), ShouldEqual, 90)
	})
	Convey("A team without a limit is always admitted", t, func() {
		So(mustQuotas(Config{}).Admit("t", 1_000_000, 1).Admitted(), ShouldBeTrue)
	})
	Convey("Each team of the default limit is counted separately", t, func() {
		q := mustQuotas(Config{Limits: []Limit{{Name: "each", Concurrency: 1}}, Default: "each"})
		So(q.Admit("a", 1, 1).Admitted(), ShouldBeTrue)
		So(q.Admit("b", 1, 1).Admitted(), ShouldBeTrue)
		So(q.Admit("b", 1, 1).Limit(), ShouldEqual, "each")
	})
	Convey("A job that can never be admitted is refused without a Retry-After", t, func() {
		q := mustQuotas(Config{Limits: []Limit{{Name: "each", Concurrency: 5}}, Default: "each"})
		decision := q.Admit("a", 6, 1)
		So(decision.Admitted(), ShouldBeFalse)
		So(decision.RetryAfter(), ShouldEqual, 0)
	})
}

// Guards against a job larger than the burst that is never admitted, or admitted
// without being charged in full.
func TestRate(t *testing.T) {
	Convey("A large job is admitted when the bucket is full, and charged in full", t, func() {
		q := mustQuotas(Config{Limits: []Limit{{Name: "l", Rate: 100, Burst: 50}}, Default: "l"})
		So(q.Admit("a", 200, 1).Admitted(), ShouldBeTrue)
		decision := q.Admit("a", 1, 1)
		So(decision.Admitted(), ShouldBeFalse)
		So(decision.RetryAfter(), ShouldBeBetweenOrEqual, 1510, 3020)
		So(q.Admit("a", 1, 1500).Admitted(), ShouldBeFalse)
		So(q.Admit("a", 1, 1520).Admitted(), ShouldBeTrue)
	})
}

// Guards against a configuration change that forgets open tasks or used tokens,
// and against an invalid configuration that is applied in part.
func TestUpdate(t *testing.T) {
	cfg := func(rate float64, concurrency int) Config {
		return Config{Limits: []Limit{{Name: "l", Rate: rate, Concurrency: concurrency}}, Default: "l"}
	}
	Convey("An update keeps open tasks and used tokens", t, func() {
		q := mustQuotas(cfg(100, 10))
		So(q.Admit("a", 10, 1).Admitted(), ShouldBeTrue)
		So(q.Update(cfg(100, 12), 1), ShouldBeNil)
		So(q.Admit("a", 3, 1).Admitted(), ShouldBeFalse)
		So(q.Admit("a", 2, 1).Admitted(), ShouldBeTrue)
		So(q.Update(cfg(20, 0), 1), ShouldBeNil)
		So(q.Admit("a", 20, 1).Admitted(), ShouldBeTrue)
		So(q.Admit("a", 1, 1).Admitted(), ShouldBeFalse)
		So(q.Update(cfg(-1, 0), 1), ShouldNotBeNil)
		So(q.Admit("a", 1, 1).Admitted(), ShouldBeFalse)
		So(q.Update(cfg(0, 50), 1), ShouldBeNil)
		So(q.Admit("a", 10, 1).Admitted(), ShouldBeTrue)
		So(q.Update(cfg(10, 0), 1), ShouldBeNil)
		So(q.Admit("a", 10, 1).Admitted(), ShouldBeTrue)
		So(q.Admit("a", 1, 1).Admitted(), ShouldBeFalse)
		q.Release("a", 52, 1)
		So(q.teams["a"].open, ShouldEqual, 0)
	})
}

// Guards against a negative token count that is forgotten when the limits change
// while no team is active.
func TestUpdateKeepsIdleLimits(t *testing.T) {
	Convey("The charge of a large job survives an update", t, func() {
		cfg := Config{Limits: []Limit{{Name: "l", Rate: 1, Burst: 10}}, Teams: map[string]string{"a": "l"}}
		q := mustQuotas(cfg)
		So(q.Admit("a", 1000, 1).Admitted(), ShouldBeTrue)
		q.Release("a", 1000, 1)
		So(q.NextReport(60_000), ShouldBeEmpty)
		So(q.Update(cfg, 60_000), ShouldBeNil)
		So(q.Admit("a", 1, 60_000).Admitted(), ShouldBeFalse)
	})
}

// Guards against memory that grows with every team name ever seen.
func TestIdleTeamsAreForgotten(t *testing.T) {
	Convey("Idle teams leave no state", t, func() {
		q := mustQuotas(Config{Limits: []Limit{{Name: "l", Rate: 100}}, Default: "l"})
		for i := range 1000 {
			name := fmt.Sprint(i)
			q.Admit(name, 1, 1)
			q.Release(name, 1, 1)
		}
		So(len(q.NextReport(100)), ShouldEqual, 1000)
		So(q.NextReport(60_000), ShouldBeEmpty)
		So(len(q.teams)+len(q.limits), ShouldEqual, 0)
	})
}

// cluster simulates homes that exchange reports with a lag.
type cluster struct {
	homes   []*Quotas
	now     gypsumtide.Millis
	lag     gypsumtide.Millis
	reports []delayedReport
}

type delayedReport struct {
	at    gypsumtide.Millis
	home  int
	usage []wire.TeamUsage
}

func newCluster(l Limit, homes int, lag gypsumtide.Millis) *cluster {
	c := &cluster{lag: lag}
	var names []string
	for i := range homes {
		names = append(names, fmt.Sprint("home-", i))
	}
	for _, name := range names {
		q, _ := NewQuotas(Config{Limits: []Limit{l}, Teams: map[string]string{"team": l.Name}}, Options{Home: name, Seed: 1}, 0)
		q.SetHomes(names, 0)
		c.homes = append(c.homes, q)
	}
	return c
}

// step advances the time by 1 ms, delivers the reports that have arrived and sends
// those that are due.
func (c *cluster) step() {
	c.now++
	for len(c.reports) > 0 && c.reports[0].at <= c.now {
		r := c.reports[0]
		c.reports = c.reports[1:]
		for j, q := range c.homes {
			if j != r.home {
				q.ApplyReport(fmt.Sprint("home-", r.home), r.usage, c.now)
			}
		}
	}
	for i, q := range c.homes {
		if (c.now+gypsumtide.Millis(i*37))%defaultReportInterval == 0 {
			c.reports = append(c.reports, delayedReport{at: c.now + c.lag, home: i, usage: q.NextReport(c.now)})
		}
	}
}

// Guards against homes that together exceed the rate by more than the documented
// bound while demand moves between them and reports are late.
func TestQuotasOvershoot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := Limit{Name: "l", Rate: 1000, Burst: rapid.SampledFrom([]float64{20, 200, 1000}).Draw(rt, "burst")}
		n := rapid.IntRange(2, 6).Draw(rt, "homes")
		c := newCluster(l, n, gypsumtide.Millis(rapid.IntRange(1, 400).Draw(rt, "lag")))
		jobSize := rapid.SampledFrom([]int{1, 10, 100}).Draw(rt, "job size")
		demand, pending := make([]float64, n), make([]float64, n)
		admitted, minExcess := 0, 0.0
		for c.now < 10_000 {
			if c.now%1000 == 0 {
				for i := range demand {
					demand[i] = rapid.SampledFrom([]float64{0, 100, 1000, 10_000}).Draw(rt, "demand")
				}
			}
			c.step()
			for i, q := range c.homes {
				for pending[i] += demand[i] / 1000; pending[i] >= float64(jobSize); pending[i] -= float64(jobSize) {
					if q.Admit("team", jobSize, c.now).Admitted() {
						q.Release("team", jobSize, c.now)
						admitted += jobSize
					}
				}
			}
			// The excess over the rate since any earlier time is bounded.
			excess := float64(admitted) - float64(c.now)*l.Rate/1000
			minExcess = min(minExcess, excess)
			if bound := l.Burst + l.Rate/2 + float64(n*jobSize); excess-minExcess > bound {
				rt.Fatalf("%v tasks over the rate, bound %v", excess-minExcess, bound)
			}
		}
	})
}

// Guards against open tasks that exceed the concurrency by more than one job for
// each other home, with tasks that run from 1 ms to 2 s.
func TestConcurrencyOvershoot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := Limit{Name: "l", Concurrency: rapid.IntRange(1, 200).Draw(rt, "concurrency")}
		n := rapid.IntRange(2, 6).Draw(rt, "homes")
		c := newCluster(l, n, gypsumtide.Millis(rapid.IntRange(1, 400).Draw(rt, "lag")))
		// ends holds the open jobs by the time at which they end. A job is encoded as
		// 1000 times the index of its home plus its number of tasks.
		ends := map[gypsumtide.Millis][]int{}
		open, largest := 0, 1
		for c.now < 5000 {
			c.step()
			for _, i := range ends[c.now] {
				c.homes[i/1000].Release("team", i%1000, c.now)
				open -= i % 1000
			}
			if c.now%10 != 0 {
				continue
			}
			i, size := rapid.IntRange(0, n-1).Draw(rt, "home"), rapid.IntRange(1, 30).Draw(rt, "job")
			if c.homes[i].Admit("team", size, c.now).Admitted() {
				open, largest = open+size, max(largest, size)
				end := c.now + gypsumtide.Millis(rapid.IntRange(1, 2000).Draw(rt, "run"))
				ends[end] = append(ends[end], i*1000+size)
			}
			if bound := l.Concurrency + (n-1)*largest; open > bound {
				rt.Fatalf("%d tasks open, bound %d", open, bound)
			}
		}
	})
}

// Guards against a home whose share grows while the tasks of another home,
// whose share fell, are still open.
func TestConcurrencyMoves(t *testing.T) {
	Convey("Tasks that stay open at one home count at the other", t, func() {
		c := newCluster(Limit{Name: "l", Concurrency: 20}, 2, 5)
		open := 0
		for c.now < 20_000 {
			c.step()
			if home := c.homes[c.now/10_000%2]; home.Admit("team", 1, c.now).Admitted() {
				open++
			}
		}
		So(c.homes[1].Share("l"), ShouldBeGreaterThan, 0.7)
		So(open, ShouldBeBetweenOrEqual, 15, 21)
	})
}

// Guards against shares so small that the quota is not used, against a home
// without demand that cannot admit a job at once, and against homes that have left
// and keep their share.
func TestShares(t *testing.T) {
	// runLoad runs the cluster until the given time with the demand of each home in tasks
	// per millisecond, and returns the number of admitted tasks.
	runLoad := func(c *cluster, until gypsumtide.Millis, demand ...int) int {
		total := 0
		for c.now < until {
			c.step()
			for i, q := range c.homes {
				for range demand[i] {
					if q.Admit("team", 1, c.now).Admitted() {
						q.Release("team", 1, c.now)
						total++
					}
				}
			}
		}
		return total
	}
	Convey("With three homes and a rate of 1,000 per second", t, func() {
		c := newCluster(Limit{Name: "l", Rate: 1000}, 3, 5)
		Convey("even demand uses the quota", func() {
			runLoad(c, 5000, 1, 1, 1)
			So(runLoad(c, 15_000, 1, 1, 1), ShouldBeBetween, 9500, 10_010)
		})
		Convey("the demand of one home uses most of it", func() {
			runLoad(c, 20_000, 3, 0, 0)
			So(runLoad(c, 30_000, 3, 0, 0), ShouldBeBetween, 8500, 10_010)
			So(c.homes[1].Admit("team", 1, c.now).Admitted(), ShouldBeTrue)
			Convey("and again after the others, which had demand, have fallen silent", func() {
				runLoad(c, 35_000, 3, 3, 3)
				c.homes = c.homes[:1]
				runLoad(c, 45_000, 3)
				So(runLoad(c, 55_000, 3), ShouldBeBetween, 8500, 10_010)
			})
			Convey("and all of it when the others have left", func() {
				c.homes[0].SetHomes(nil, c.now)
				c.homes = c.homes[:1]
				runLoad(c, 35_000, 3)
				So(runLoad(c, 45_000, 3), ShouldBeBetween, 9900, 10_010)
			})
		})
	})
}
