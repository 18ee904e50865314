package measure

import (
	"fmt"
	"time"

	"gypsumtide"
	"gypsumtide/internal/standin/load"
	"gypsumtide/internal/standin/worker"
)

// site is the network of a user organisation.
type site struct {
	name                   string
	entries, zones         int
	zoneDelay, callerDelay time.Duration
}

var (
	consortium = site{"consortium", 3, 4, time.Millisecond, time.Millisecond}
	ristikko   = site{"ristikko", 3, 3, 500 * time.Microsecond, 3 * time.Millisecond}
)

const (
	workers = 11
	slots   = 8
	allSlot = workers * slots
)

// phase is a set of loads that run at the same time on one deployment.
type phase []load.Config

// trial is one row of a table.
type trial struct {
	name    string
	objects string
	phases  []phase
	// faults are set at the first upstream at faultAt in the last phase.
	faults *worker.Faults
}

// experiment is one table. The rows run on fresh deployments.
type experiment struct {
	name, note string
	sites      []site
	columns    []string
	trials     []trial
	values     func(r *result) []float64
}

// pool publishes the placement and queue of the default pool.
func pool(placement, queue string) string {
	return fmt.Sprintf("kind: pool\nname: default\nplacement: %s\nqueue: %s\n", placement, queue)
}

var policies = [][2]string{{"believed-free", "fair"}, {"least-loaded", "fair"}, {"power-of-two", "fair"},
	{"round-robin", "fair"}, {"random", "fair"}, {"believed-free", "fifo"}}

// tasks returns a class with a rate in jobs per second.
func tasks(service, team string, rate float64, run, deadline gypsumtide.Millis) load.Class {
	return load.Class{Name: service, Service: service, Team: team, Rate: rate, TasksMin: 1, TasksMax: 1,
		Run: load.RunTime{Kind: "fixed", Mean: run}, Deadline: deadline, Hints: "right"}
}

// checks are stock checks of 50 ms that use the given share of the slots.
func checks(share float64, duration gypsumtide.Millis, hints string) load.Config {
	c := tasks("stock-check", "shop", share*allSlot*1000/checkRun, checkRun, 5_000)
	c.Hints = hints
	return load.Config{Duration: duration, Arrivals: "poisson", Classes: []load.Class{c}}
}

const (
	checkRun = 50
	// Faults begin when the run-time statistics have settled.
	faultAt = 2 * time.Second
)

// batches are order batches of 1,200 tasks, 45% of the slots on average.
func batches(hints string) load.Config {
	c := tasks("order-batch", "orders", 1/1.5, checkRun, 30_000)
	c.TasksMin, c.TasksMax, c.Hints = load.MaxTasks, load.MaxTasks, hints
	return load.Config{Duration: 6_000, Arrivals: "step", Classes: []load.Class{c}}
}

// beside runs stock checks without and then beside batches.
func beside(name, objects, hints string) trial {
	return trial{name: name, objects: objects, phases: []phase{{checks(0.3, 5_000, hints)}, {checks(0.3, 6_000, hints), batches(hints)}}}
}

const (
	crestStart = 2_000
	crestTime  = 3_000
	crestRun   = 200
	baseShare  = 0.7
)

// swing is 70% load that rises to factor times the capacity. Jobs have one to
// three tasks of 200 ms, so that the load tool and the proxies do not limit it.
func swing(factor float64, deadlines ...gypsumtide.Millis) phase {
	cfg := load.Config{Duration: 8_000, Arrivals: "poisson", Peak: load.Peak{Factor: factor / baseShare, Start: crestStart, Length: crestTime}}
	for i, d := range deadlines {
		c := tasks("hint", "hints", baseShare*allSlot*1000/crestRun/2/float64(len(deadlines)), crestRun, d)
		c.Name, c.TasksMax = fmt.Sprintf("hint-%d", i), 3
		cfg.Classes = append(cfg.Classes, c)
	}
	return phase{cfg}
}

const (
	quota      = 200
	quotaBurst = 20
	quotaTime  = 6
)

// experiments returns all experiments in the order of the report.
func experiments() []experiment {
	ratio := experiment{name: "ratio", sites: []site{consortium, ristikko},
		note:    "Response ratio of 50 ms tasks by policy (placement/queue) and load.",
		columns: []string{"p50", "p99", "p99.9", "response p50 ms", "wasted messages per task", "heartbeat frames per task", "recalls, not-started and queries per task", "not complete %"}, values: ratioValues}
	for _, share := range []float64{0.3, 0.7, 0.9} {
		for _, p := range policies {
			ratio.trials = append(ratio.trials, trial{name: fmt.Sprintf("%s/%s %.0f%%", p[0], p[1], share*100), objects: pool(p[0], p[1]),
				phases: []phase{{checks(share, 5_000, "right")}}})
		}
	}
	blocking := experiment{name: "blocking", sites: []site{consortium, ristikko}, columns: []string{"p99 without ms", "p99 beside ms", "blocking"}, values: blockingValues,
		note:   "Stock checks of 50 ms at 30% load without and beside order batches of 1,200 tasks of 50 ms, one each 1.5 s. The tasks of a batch run for the same time and so end together unless the row says that their run times are exponential (mean 50 ms).",
		trials: []trial{beside("believed-free/fair", pool("believed-free", "fair"), "right"), beside("believed-free/fifo", pool("believed-free", "fifo"), "right"), beside("random/fair", pool("random", "fair"), "right"), beside("believed-free/fair, exponential batches", pool("believed-free", "fair"), "right")}}
	// Tasks of one run time free their slots in waves, which a stock check may have to wait for.
	blocking.trials[3].phases[1][1].Classes[0].Run.Kind = "exponential"
	crest := experiment{name: "crest", sites: []site{ristikko}, columns: []string{"crest service", "refused %", "late or lost %", "recovery s", "violations"}, values: crestValues,
		note: "A swing from 70% load to a multiple of the capacity for 3 s, tasks of 200 ms. Crest service: tasks answered within deadline during the crest / (88 slots x 3 s / 200 ms). Refused and late: share of the jobs sent in the crest. Recovery: last job sent after the crest that was not complete in time. Violations: history checker, all rules."}
	for _, factor := range []float64{3, 10} {
		for _, queue := range []string{"fair", "fifo"} {
			name := fmt.Sprintf("%gx %s, ", factor, queue)
			crest.trials = append(crest.trials,
				trial{name: name + "deadline 1 s", objects: pool("believed-free", queue), phases: []phase{swing(factor, 1_000)}},
				trial{name: name + "deadlines 1 to 5 s", objects: pool("believed-free", queue), phases: []phase{swing(factor, 1_000, 2_000, 3_000, 4_000, 5_000)}})
		}
	}
	hints := experiment{name: "hints", sites: []site{consortium}, columns: []string{"ratio p99 without", "ratio p99 beside", "blocking"}, values: hintValues,
		note: "The loads of the blocking experiment with declared run times that are right, 10 times off (up or down at random) or absent."}
	for _, h := range []string{"right", "off", "absent"} {
		hints.trials = append(hints.trials, beside(h, pool("believed-free", "fair"), h))
	}
	slow := experiment{name: "slow", sites: []site{consortium}, values: slowValues,
		columns: []string{"ratio p50", "ratio p99", "failed % 1st s", "2nd s", "3rd s", "later", "last failure s"},
		note:    "50 ms tasks at 40% load; 2 s after the start one of 11 upstreams becomes 5 times slower or fails every task. Figures cover jobs sent after the fault; the ideal uses the declared 50 ms, so slow runs count against the policy."}
	for _, p := range []string{"believed-free", "round-robin"} {
		for _, f := range []struct {
			name string
			set  worker.Faults
		}{{"5 times slower", worker.Faults{SlowFactor: 5}}, {"fails everything", worker.Faults{FailAll: true}}} {
			slow.trials = append(slow.trials, trial{name: p + ", " + f.name, objects: pool(p, "fair"), phases: []phase{{checks(0.4, 8_000, "right")}}, faults: &f.set})
		}
	}
	fairness := experiment{name: "fairness", sites: []site{consortium}, values: fairnessValues,
		columns: []string{"share/weight of 1", "of 2", "of 4", "overshoot % of the run", "of the first s"},
		note:    "Teams of weight 1, 2 and 4 offer equal parts of 2 times the capacity (tasks of 200 ms, deadline 2 s). Share/weight: the team's part of the answered tasks over its part of the weights. Overshoot: a team with a limit of 200 tasks/s and a burst of 20 offers 600/s of 20 ms over three entries; tasks complete over (rate x time + burst) - 1.",
		trials:  []trial{{name: "believed-free/fair", objects: teams(pool("believed-free", "fair")), phases: []phase{teamLoads(), quotaLoad()}}}}
	return []experiment{ratio, blocking, crest, hints, slow, fairness}
}

func teams(objects string) string {
	for _, w := range []int{1, 2, 4} {
		objects += fmt.Sprintf("---\nkind: team\nname: weight-%d\nweight: %d\n", w, w)
	}
	return objects + fmt.Sprintf("---\nkind: limit\nname: bound\nrate: %d\nburst: %d\n---\nkind: team\nname: bounded\nlimits: [bound]\n", quota, quotaBurst)
}

func teamLoads() phase {
	cfg := load.Config{Duration: 6_000, Arrivals: "poisson"}
	for _, w := range []int{1, 2, 4} {
		c := tasks("hint", fmt.Sprintf("weight-%d", w), 2*allSlot*1000/crestRun/3.0, crestRun, 2_000)
		c.Name = c.Team
		cfg.Classes = append(cfg.Classes, c)
	}
	return phase{cfg}
}

func quotaLoad() phase {
	c := tasks("stock-check", "bounded", 3*quota, 20, 1_000)
	return phase{{Duration: quotaTime * 1000, Arrivals: "poisson", Classes: []load.Class{c}}}
}
