package placement

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
)

// testAgent describes an agent with 8 slots, 2 of which are reserved for short tasks.
type testAgent struct {
	zone string
	// short and long count the open tasks of this home, others those of other homes.
	short, long int
	others      gypsumtide.Load
	slowness    float64
	ejected     bool
	memory      int64
}

func (a testAgent) build() *gypsumtide.AgentView {
	v := gypsumtide.NewAgentView("", a.zone, "", 8, 2, gypsumtide.Size{Memory: a.memory})
	for range a.short {
		v.Assign(newTask(gypsumtide.ClassShort, 0))
	}
	for range a.long {
		v.Assign(newTask(gypsumtide.ClassLong, 0))
	}
	v.Report(a.others, 1)
	if a.slowness > 0 {
		v.SetSlowness(a.slowness)
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
	Convey("New accepts only known names", t, func() {
		for _, name := range Names() {
			p, err := New(name, Options{})
			So(err, ShouldBeNil)
			So(p.Name(), ShouldEqual, name)
			So(p.Place(newTask(gypsumtide.ClassShort, 0), nil, 1).AgentIndex(), ShouldEqual, -1)
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

// Guards against placements that break a rule of the policy: a free slot before
// overcommit, load relative to slots and speed, the local zone on near ties, and reserved
// slots.
func TestBelievedFree(t *testing.T) {
	short, long := newTask(gypsumtide.ClassShort, 0), newTask(gypsumtide.ClassLong, 0)
	tests := []struct {
		name   string
		task   *gypsumtide.Task
		agents []testAgent
		want   int
		reason string
	}{
		{"least load", short, []testAgent{{short: 3}, {short: 1}, {short: 2}}, 1, reasonFree},
		{"load of other homes counts", short, []testAgent{{others: gypsumtide.Load{Running: 8}}, {short: 5}}, 1, reasonFree},
		{"slow agent", short, []testAgent{{slowness: 5}, {short: 7}}, 1, reasonFree},
		{"local zone on ties", short, []testAgent{{short: 1}, {short: 1, zone: "local"}}, 1, reasonFreeLocal},
		{"local zone on near ties", short, []testAgent{{short: 1}, {short: 1, zone: "local", others: gypsumtide.Load{Running: 1}}}, 1, reasonFreeLocal},
		{"less load before local zone", short, []testAgent{{short: 1}, {short: 3, zone: "local"}}, 0, reasonFree},
		{"free slot before overcommit", short, []testAgent{{short: 8, zone: "local"}, {short: 7, slowness: 9}}, 1, reasonFree},
		{"overcommit position", short, []testAgent{{short: 9}, {short: 8}}, 1, reasonOvercommit},
		{"all agents full", short, []testAgent{{short: 9}, {short: 9}}, -1, reasonWait},
		{"ejected agent", short, []testAgent{{ejected: true}, {short: 8}}, 1, reasonOvercommit},
		{"agent too small", newTask(gypsumtide.ClassShort, 100), []testAgent{{memory: 50}, {memory: 100, short: 7}}, 1, reasonFree},
		{"no overcommit of a short task if long tasks fill all slots", short, []testAgent{{others: gypsumtide.Load{Running: 8, RunningLong: 8}}}, -1, reasonWait},
		{"long task in a reserved slot", long, []testAgent{{long: 6}}, -1, reasonWait},
		{"long task in a reserved slot, with tasks of other homes", long, []testAgent{{long: 3, others: gypsumtide.Load{Running: 3, RunningLong: 3}}}, -1, reasonWait},
		{"long task in an unreserved slot", long, []testAgent{{long: 5}}, 0, reasonFree},
		{"long task where only reserved slots are free", long, []testAgent{{long: 3, short: 3}}, -1, reasonWait},
		{"long tasks may always use a quarter of the slots", long, []testAgent{{long: 1, short: 6}}, 0, reasonFree},
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
				So(d.AgentIndex(), ShouldEqual, tt.want)
				So(d.Reason(), ShouldEqual, tt.reason)
			})
		}
	})
}

// Guards against long tasks in reserved slots, more tasks at an agent than its slots and
// overcommit, overcommit while a slot is free, tasks at ejected or too small agents, and a
// free slot that is not found, if all agents are scanned.
func TestBelievedFreeRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		agents := make([]*gypsumtide.AgentView, rapid.IntRange(1, 40).Draw(rt, "agents"))
		for i := range agents {
			long := rapid.IntRange(0, 6).Draw(rt, "long of others")
			agents[i] = testAgent{
				zone:     rapid.SampledFrom([]string{"local", "remote"}).Draw(rt, "zone"),
				others:   gypsumtide.Load{Running: long + rapid.IntRange(0, 4).Draw(rt, "short of others"), RunningLong: long},
				slowness: rapid.Float64Range(0.2, 9).Draw(rt, "slowness"),
				ejected:  rapid.IntRange(0, 9).Draw(rt, "ejected") == 0,
				memory:   rapid.Int64Range(0, 3).Draw(rt, "memory"),
			}.build()
		}
		p, _ := New(BelievedFree, Options{Zone: "local", Seed: 1})
		for range rapid.IntRange(0, 400).Draw(rt, "tasks") {
			task := newTask(gypsumtide.Class(rapid.IntRange(0, 1).Draw(rt, "class")), rapid.Int64Range(0, 3).Draw(rt, "demand"))
			free, overcommit := 0, 0
			for _, v := range agents {
				if v.Ejected() || !task.Size().Fits(v.Capacity()) || longNotAllowed(task, v) {
					continue
				}
				if v.OpenTasks() < 8 {
					free++
				} else if v.OpenTasks() == 8 {
					overcommit++
				}
			}
			placeable, placeableLong := placeableTasks(agents, 1)
			decision := p.Place(task, agents, 2)
			if decision.AgentIndex() < 0 {
				if free+overcommit > 0 {
					rt.Fatalf("no agent, but %d free and %d overcommit positions", free, overcommit)
				}
				continue
			}
			v := agents[decision.AgentIndex()]
			switch {
			case v.Ejected() || !task.Size().Fits(v.Capacity()):
				rt.Fatalf("task placed on an ejected or too small agent")
			case v.OpenTasks() > 8 || v.OpenTasks() == 8 && free > 0:
				rt.Fatalf("task placed on an agent with %d open tasks while %d agents have a free slot", v.OpenTasks(), free)
			case longNotAllowed(task, v):
				rt.Fatalf("long task in a reserved slot")
			case placeable == 0 || task.Class() == gypsumtide.ClassLong && placeableLong == 0:
				rt.Fatalf("task placed although placeableTasks returned 0 for its class")
			}
			v.Assign(task)
		}
	})
}

// longNotAllowed reports whether the task is long and may not be placed at an agent with 8
// slots, 2 of them reserved: at most 6 open tasks may be long, and a third or further long
// task may be added only if the reserved slots stay free.
func longNotAllowed(t *gypsumtide.Task, v *gypsumtide.AgentView) bool {
	if t.Class() != gypsumtide.ClassLong {
		return false
	}
	return openLong(v) >= 6 || openLong(v) >= 2 && v.OpenTasks() >= 6
}

func openLong(v *gypsumtide.AgentView) int {
	return v.OwnTasks(gypsumtide.ClassLong) + v.OtherTasks(gypsumtide.ClassLong)
}

// Guards against homes that have the same view of the agents and therefore all choose the
// same one.
func TestTiesAreSpread(t *testing.T) {
	Convey("50 homes spread over 10 equal agents", t, func() {
		var agents []*gypsumtide.AgentView
		for range 10 {
			agents = append(agents, testAgent{}.build())
		}
		chosen := map[int]int{}
		for seed := range uint64(50) {
			p, _ := New(BelievedFree, Options{Seed: seed + 1})
			chosen[p.Place(newTask(gypsumtide.ClassShort, 0), agents, 1).AgentIndex()]++
		}
		So(len(chosen), ShouldBeGreaterThanOrEqualTo, 7)
	})
}

// Guards against baselines that wait for a free slot or use unusable agents, which would
// make the comparison with them invalid.
func TestBaselines(t *testing.T) {
	Convey("Baselines place on full agents, but not on ejected or too small ones", t, func() {
		agents := []*gypsumtide.AgentView{
			testAgent{ejected: true, memory: 9}.build(), testAgent{short: 30, memory: 9}.build(),
			testAgent{memory: 1}.build(), testAgent{short: 20, memory: 9}.build(),
		}
		for _, name := range Names()[1:] {
			p, err := New(name, Options{Seed: 1})
			So(err, ShouldBeNil)
			chosen := map[int]int{}
			for range 100 {
				chosen[p.Place(newTask(gypsumtide.ClassShort, 5), agents, 1).AgentIndex()]++
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

// Guards against jobs that wait until their deadline although no worker can ever run them,
// and against refusals for a temporary reason, such as an ejected agent.
func TestFits(t *testing.T) {
	largeTask := newTask(gypsumtide.ClassShort, 100)
	fullyReserved := gypsumtide.NewAgentView("", "", "", 2, 2, gypsumtide.Size{})
	tests := []struct {
		name   string
		task   *gypsumtide.Task
		agents []*gypsumtide.AgentView
		ok     bool
		reason string
	}{
		{"no agent", largeTask, nil, false, "no agent serves check"},
		{"no slots", largeTask, []*gypsumtide.AgentView{gypsumtide.NewAgentView("", "", "", 0, 0, gypsumtide.Size{})}, false, "no agent that serves check has slots"},
		{"too large", largeTask, []*gypsumtide.AgentView{testAgent{memory: 50}.build(), testAgent{memory: 99}.build()}, false,
			"the declared size 0 milli-processors, 100 MiB, 0 accelerators is too large for every worker, the largest capacity of each resource is 0 milli-processors, 99 MiB, 0 accelerators"},
		{"long without slots", newTask(gypsumtide.ClassLong, 0), []*gypsumtide.AgentView{fullyReserved}, false, "all slots of the workers that are large enough are reserved for short tasks"},
		{"ejected and full", largeTask, []*gypsumtide.AgentView{testAgent{memory: 50}.build(), testAgent{memory: 100, short: 9, ejected: true}.build()}, true, ""},
	}
	Convey("Fits", t, func() {
		for _, tt := range tests {
			reason, ok := Fits(tt.task, tt.agents)
			So(ok, ShouldEqual, tt.ok)
			So(reason, ShouldEqual, tt.reason)
		}
	})
}

// Guards against recalls of running tasks, recalls while no other agent has a free slot, and
// recalls that cost more than 0.1 messages per task.
func TestRecall(t *testing.T) {
	Convey("With a full agent, an ejected agent and an idle one", t, func() {
		agents := []*gypsumtide.AgentView{testAgent{short: 10}.build(), testAgent{short: 1, ejected: true}.build(), testAgent{short: 6}.build()}
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
		agents[2] = testAgent{long: 6}.build()
		So(r.Recall(1000, sent, agents), ShouldResemble, []int{10, 8})
	})
	Convey("Recalls stay within their ratio to the dispatches", t, func() {
		agents := []*gypsumtide.AgentView{testAgent{short: 9}.build(), testAgent{}.build()}
		sent := []DispatchedTask{{Task: newTask(gypsumtide.ClassShort, 0)}}
		r, recalls := NewRecaller(RecallOptions{}), 0
		for range 10_000 {
			r.RecordDispatches(1)
			recalls += len(r.Recall(1000, sent, agents))
		}
		const messagesPerRecall = 3
		So(float64(recalls*messagesPerRecall)/10_000, ShouldBeBetween, 0.08, 0.1)
	})
}

// Guards against decisions whose reason does not say why an agent was chosen.
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
	fmt.Println(agents[d.AgentIndex()].Name(), d.Reason())
	// Output: worker-2 free slot, local availability zone
}
