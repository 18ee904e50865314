package placement

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
)

// view describes an agent with 8 slots of which 2 are reserved for short work.
type view struct {
	zone        string
	short, long int
	others      gypsumtide.Load
	speed       float64
	ejected     bool
	memory      int64
}

func (a view) build() *gypsumtide.AgentView {
	v := gypsumtide.NewAgentView("", a.zone, "", 8, 2, gypsumtide.Size{Memory: a.memory})
	for range a.short {
		v.Assign(newTask(gypsumtide.ClassShort, 0))
	}
	for range a.long {
		v.Assign(newTask(gypsumtide.ClassLong, 0))
	}
	v.Report(a.others, 1)
	if a.speed > 0 {
		v.SetSlowness(a.speed)
	}
	v.SetEjected(a.ejected)
	return v
}

func newTask(c gypsumtide.Class, memory int64) *gypsumtide.Task {
	t := gypsumtide.NewTask(gypsumtide.SubmissionID{}, 0, "check", "team", 1, 0)
	t.SetClass(c)
	t.SetSize(gypsumtide.Size{Memory: memory})
	return t
}

// Guards against a policy name or an option that silently selects another policy.
func TestNew(t *testing.T) {
	Convey("New", t, func() {
		for _, name := range Names() {
			p, err := New(name, Options{})
			So(err, ShouldBeNil)
			So(p.Name(), ShouldEqual, name)
			So(p.Place(newTask(gypsumtide.ClassShort, 0), nil, 1).Agent(), ShouldEqual, -1)
		}
		p, err := New("", Options{})
		So(err, ShouldBeNil)
		So(p.Name(), ShouldEqual, BelievedFree)
		_, err = New("best", Options{})
		So(err, ShouldNotBeNil)
		_, err = New("", Options{StaleLoad: "old"})
		So(err, ShouldNotBeNil)
	})
}

// Guards against placements that break a rule of the design page: free before
// overcommit, load by slots and speed, local zone on near ties, reserved slots.
func TestBelievedFree(t *testing.T) {
	short, long := newTask(gypsumtide.ClassShort, 0), newTask(gypsumtide.ClassLong, 0)
	tests := []struct {
		name   string
		task   *gypsumtide.Task
		agents []view
		want   int
		reason string
	}{
		{"least load", short, []view{{short: 3}, {short: 1}, {short: 2}}, 1, reasonFree},
		{"load of other homes counts", short, []view{{others: gypsumtide.Load{Running: 8}}, {short: 5}}, 1, reasonFree},
		{"slow agent", short, []view{{speed: 5}, {short: 7}}, 1, reasonFree},
		{"local zone on ties", short, []view{{short: 1}, {short: 1, zone: "local"}}, 1, reasonFreeLocal},
		{"local zone on near ties", short, []view{{short: 1}, {short: 1, zone: "local", others: gypsumtide.Load{Running: 1}}}, 1, reasonFreeLocal},
		{"less load before local zone", short, []view{{short: 1}, {short: 3, zone: "local"}}, 0, reasonFree},
		{"free slot before overcommit", short, []view{{short: 8, zone: "local"}, {short: 7, speed: 9}}, 1, reasonFree},
		{"overcommit", short, []view{{short: 9}, {short: 8}}, 1, reasonOvercommit},
		{"full", short, []view{{short: 9}, {short: 9}}, -1, reasonWait},
		{"ejected", short, []view{{ejected: true}, {short: 8}}, 1, reasonOvercommit},
		{"too small", newTask(gypsumtide.ClassShort, 100), []view{{memory: 50}, {memory: 100, short: 7}}, 1, reasonFree},
		{"short behind long only", short, []view{{others: gypsumtide.Load{Running: 8, RunningLong: 8}}}, -1, reasonWait},
		{"long in reserved slots", long, []view{{long: 6}}, -1, reasonWait},
		{"long of other homes in reserved slots", long, []view{{long: 3, others: gypsumtide.Load{Running: 3, RunningLong: 3}}}, -1, reasonWait},
		{"long beside short", long, []view{{long: 5}}, 0, reasonFree},
		{"long in slots kept free for short work", long, []view{{long: 3, short: 3}}, -1, reasonWait},
		{"long work keeps a quarter", long, []view{{long: 1, short: 6}}, 0, reasonFree},
	}
	Convey("Place", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				p, err := New(BelievedFree, Options{Zone: "local", Seed: 1})
				So(err, ShouldBeNil)
				var agents []*gypsumtide.AgentView
				for _, a := range tt.agents {
					agents = append(agents, a.build())
				}
				d := p.Place(tt.task, agents, 1)
				So(d.Agent(), ShouldEqual, tt.want)
				So(d.Reason(), ShouldEqual, tt.reason)
			})
		}
	})
}

// Guards against long work in reserved slots, more tasks at an agent than its
// slots and overcommit, overcommit beside a free slot, ejected or too small
// agents, and a free slot that is not found, for any number of agents.
func TestBelievedFreeRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		agents := make([]*gypsumtide.AgentView, rapid.IntRange(1, 40).Draw(rt, "agents"))
		for i := range agents {
			long := rapid.IntRange(0, 6).Draw(rt, "long of others")
			agents[i] = view{
				zone:    rapid.SampledFrom([]string{"local", "remote"}).Draw(rt, "zone"),
				others:  gypsumtide.Load{Running: long + rapid.IntRange(0, 4).Draw(rt, "short of others"), RunningLong: long},
				speed:   rapid.Float64Range(0.2, 9).Draw(rt, "speed"),
				ejected: rapid.IntRange(0, 9).Draw(rt, "ejected") == 0,
				memory:  rapid.Int64Range(0, 3).Draw(rt, "memory"),
			}.build()
		}
		p, _ := New(BelievedFree, Options{Zone: "local", Seed: 1})
		for range rapid.IntRange(0, 400).Draw(rt, "tasks") {
			task := newTask(gypsumtide.Class(rapid.IntRange(0, 1).Draw(rt, "class")), rapid.Int64Range(0, 3).Draw(rt, "demand"))
			free, over := 0, 0
			for _, v := range agents {
				if v.Ejected() || !task.Size().Fits(v.Capacity()) || denied(task, v) {
					continue
				}
				if v.Open() < 8 {
					free++
				} else if v.Open() == 8 {
					over++
				}
			}
			room, longRoom := PlaceableTasks(agents, 1)
			d := p.Place(task, agents, 2)
			if d.Agent() < 0 {
				if free+over > 0 {
					rt.Fatalf("no agent, but %d free and %d overcommit positions", free, over)
				}
				continue
			}
			v := agents[d.Agent()]
			switch {
			case v.Ejected() || !task.Size().Fits(v.Capacity()):
				rt.Fatalf("ejected or too small")
			case v.Open() > 8 || v.Open() == 8 && free > 0:
				rt.Fatalf("%d tasks open, %d agents free", v.Open(), free)
			case denied(task, v):
				rt.Fatalf("long task in a reserved slot")
			case room == 0 || task.Class() == gypsumtide.ClassLong && longRoom == 0:
				rt.Fatalf("placed without room")
			}
			v.Assign(task)
		}
	})
}

// denied reports whether a long task may not go to an agent with 8 slots, 2 of
// them reserved: never above 6 long tasks, and above a quarter of long tasks
// only while the reserved slots stay free.
func denied(t *gypsumtide.Task, v *gypsumtide.AgentView) bool {
	if t.Class() != gypsumtide.ClassLong {
		return false
	}
	return longs(v) >= 6 || longs(v) >= 2 && v.Open() >= 6
}

func longs(v *gypsumtide.AgentView) int {
	return v.Own(gypsumtide.ClassLong) + v.Others(gypsumtide.ClassLong)
}

// Guards against homes that herd: with equal views they must not all choose one agent.
func TestEqualsAreSpread(t *testing.T) {
	Convey("50 homes spread over 10 equal agents", t, func() {
		var agents []*gypsumtide.AgentView
		for range 10 {
			agents = append(agents, view{}.build())
		}
		chosen := map[int]int{}
		for seed := range uint64(50) {
			p, _ := New(BelievedFree, Options{Seed: seed + 1})
			chosen[p.Place(newTask(gypsumtide.ClassShort, 0), agents, 1).Agent()]++
		}
		So(len(chosen), ShouldBeGreaterThanOrEqualTo, 7)
	})
}

// Guards against baselines that wait for a slot or use unusable agents, which
// would make the comparison with them void.
func TestBaselines(t *testing.T) {
	Convey("Baselines place on full agents, but not on ejected or too small ones", t, func() {
		agents := []*gypsumtide.AgentView{
			view{ejected: true, memory: 9}.build(), view{short: 30, memory: 9}.build(),
			view{memory: 1}.build(), view{short: 20, memory: 9}.build(),
		}
		for _, name := range Names()[1:] {
			p, err := New(name, Options{Seed: 1})
			So(err, ShouldBeNil)
			chosen := map[int]int{}
			for range 100 {
				chosen[p.Place(newTask(gypsumtide.ClassShort, 5), agents, 1).Agent()]++
			}
			So(chosen[1]+chosen[3], ShouldEqual, 100)
			switch name {
			case LeastLoaded:
				So(chosen[3], ShouldEqual, 100)
			case RoundRobin:
				So(chosen[3], ShouldEqual, 50)
			case PowerOfTwo:
				So(chosen[3], ShouldBeBetween, 60, 90)
			case Random:
				So(chosen[3], ShouldBeBetween, 35, 65)
			}
		}
	})
}

// Guards against jobs that wait for their deadline though no worker can ever
// run them, and against refusals that pass, such as an ejected agent.
func TestFits(t *testing.T) {
	big := newTask(gypsumtide.ClassShort, 100)
	all := gypsumtide.NewAgentView("", "", "", 2, 2, gypsumtide.Size{})
	tests := []struct {
		name   string
		task   *gypsumtide.Task
		agents []*gypsumtide.AgentView
		ok     bool
		reason string
	}{
		{"no agent", big, nil, false, "no agent serves check"},
		{"no slots", big, []*gypsumtide.AgentView{gypsumtide.NewAgentView("", "", "", 0, 0, gypsumtide.Size{})}, false, "no agent of check has slots"},
		{"too large", big, []*gypsumtide.AgentView{view{memory: 50}.build(), view{memory: 99}.build()}, false,
			"the declared size 0 milli-processors, 100 MiB, 0 accelerators is too large for every worker, the largest of each is 0 milli-processors, 99 MiB, 0 accelerators"},
		{"long without slots", newTask(gypsumtide.ClassLong, 0), []*gypsumtide.AgentView{all}, false, "all slots of the workers that it fits are reserved for short tasks"},
		{"ejected and full", big, []*gypsumtide.AgentView{view{memory: 50}.build(), view{memory: 100, short: 9, ejected: true}.build()}, true, ""},
	}
	Convey("Fits", t, func() {
		for _, tt := range tests {
			reason, ok := Fits(tt.task, tt.agents)
			So(ok, ShouldEqual, tt.ok)
			So(reason, ShouldEqual, tt.reason)
		}
	})
}

// Guards against recalls of running tasks, recalls without an idle slot to
// move to, and recalls that waste more than 0.1 messages per task.
func TestRecall(t *testing.T) {
	Convey("With a full agent, an ejected agent and an idle one", t, func() {
		agents := []*gypsumtide.AgentView{view{short: 10}.build(), view{short: 1, ejected: true}.build(), view{short: 6}.build()}
		var sent []DispatchedTask
		for i := range 10 {
			sent = append(sent, DispatchedTask{Task: newTask(gypsumtide.ClassShort, 0), DispatchedAt: gypsumtide.Millis(100 + i)})
		}
		sent = append(sent, DispatchedTask{Task: newTask(gypsumtide.ClassShort, 0), Agent: 1, DispatchedAt: 50})
		r := NewRecaller(RecallOptions{})
		So(r.Recall(1000, sent, agents), ShouldBeEmpty)
		r.RecordDispatches(1000)
		So(r.Recall(1000, sent, agents), ShouldResemble, []int{10, 8})
		So(r.Recall(155, sent, agents), ShouldResemble, []int{10})
		So(r.Recall(1000, sent, agents[:2]), ShouldBeEmpty)
		sent[9].Task.SetClass(gypsumtide.ClassLong)
		agents[2] = view{long: 6}.build()
		So(r.Recall(1000, sent, agents), ShouldResemble, []int{10, 8})
	})
	Convey("Recalls stay within their share of the dispatches", t, func() {
		agents := []*gypsumtide.AgentView{view{short: 9}.build(), view{}.build()}
		sent := []DispatchedTask{{Task: newTask(gypsumtide.ClassShort, 0)}}
		r, recalls := NewRecaller(RecallOptions{}), 0
		for range 10_000 {
			r.RecordDispatches(1)
			recalls += len(r.Recall(1000, sent, agents))
		}
		const messages = 3
		So(float64(recalls*messages)/10_000, ShouldBeBetween, 0.08, 0.1)
	})
}

// Shows a decision with its reason. Guards against reasons that do not tell
// why an agent was chosen.
func ExampleNew() {
	p, err := New(BelievedFree, Options{Zone: "zone-a"})
	if err != nil {
		fmt.Println(err)
		return
	}
	agents := []*gypsumtide.AgentView{
		gypsumtide.NewAgentView("worker-1", "zone-b", "rack-1", 8, 2, gypsumtide.Size{}),
		gypsumtide.NewAgentView("worker-2", "zone-a", "rack-2", 8, 2, gypsumtide.Size{}),
	}
	t := gypsumtide.NewTask(gypsumtide.SubmissionID{}, 0, "check", "stock", 1, 5000)
	d := p.Place(t, agents, 0)
	fmt.Println(agents[d.Agent()].Name(), d.Reason())
	// Output: worker-2 free slot, local availability zone
}
