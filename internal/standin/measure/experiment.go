package measure

import (
	"fmt"
	"time"

	"gypsumtide"
	"gypsumtide/internal/standin/load"
	"gypsumtide/internal/standin/worker"
)

// organisation describes a user organisation: its number of entries and
// availability zones, and its network delays.
type organisation struct {
	name           string
	entries, zones int
	// zoneDelay and callerDelay are one-way delays between availability zones and
	// between callers and entries.
	zoneDelay, callerDelay time.Duration
}

var (
	consortium = organisation{"consortium", 3, 4, time.Millisecond, time.Millisecond}
	ristikko   = organisation{"ristikko", 3, 3, 500 * time.Microsecond, 3 * time.Millisecond}
)

// The size of every deployment. slots is the number of tasks that a worker can run
// at once.
const (
	workers    = 11
	slots      = 8
	totalSlots = workers * slots
)

// phase is a set of loads that run concurrently on one deployment.
type phase []load.Config

// trial describes one row of a table: the configuration objects to publish, as
// YAML documents, and the phases that run one after the other.
type trial struct {
	name    string
	objects string
	phases  []phase
	// faults are set at the first upstream when faultAt has passed since the start
	// of the last phase; nil means none.
	faults *worker.Faults
}

// experiment describes one table per organisation. note is printed below the heading
// of the table. Each repetition of a row runs on a fresh deployment, and values computes
// from it one value for each of the columns.
type experiment struct {
	name, note    string
	organisations []organisation
	columns       []string
	trials        []trial
	values        func(r *result) []float64
}

// poolObject returns the configuration object of the default pool with the given
// policies.
func poolObject(placement, queue string) string {
	return fmt.Sprintf("kind: pool\nname: default\nplacement: %s\nqueue: %s\n", placement, queue)
}

// policies are the compared pairs of placement and queue policies.
var policies = [][2]string{{"believed-free", "fair"}, {"least-loaded", "fair"}, {"power-of-two", "fair"},
	{"round-robin", "fair"}, {"random", "fair"}, {"believed-free", "fifo"}}

// jobClass returns a class of jobs with one task. The rate is in jobs per second.
func jobClass(service, team string, rate float64, run, deadline gypsumtide.Millis) load.Class {
	return load.Class{Name: service, Service: service, Team: team, Rate: rate, TasksMin: 1, TasksMax: 1,
		Run: load.RunTime{Kind: "fixed", Mean: run}, Deadline: deadline, Hints: "right"}
}

// stockChecks returns a load of 50 ms stock checks that uses the given share of
// the slots.
func stockChecks(share float64, duration gypsumtide.Millis, hints string) load.Config {
	c := jobClass("stock-check", "shop", share*totalSlots*1000/checkRunTime, checkRunTime, 5_000)
	c.Hints = hints
	return load.Config{Duration: duration, Arrivals: "poisson", Classes: []load.Class{c}}
}

const (
	// checkRunTime is the run time of a stock check in milliseconds.
	checkRunTime = 50
	// faultAt is the time from the start of a phase to its faults. It leaves time for
	// the dispatcher's run-time statistics to settle.
	faultAt = 2 * time.Second
)

// orderBatches returns a load of order batches of 1,200 tasks that uses 45% of
// the slots on average.
func orderBatches(hints string) load.Config {
	c := jobClass("order-batch", "orders", 1/1.5, checkRunTime, 30_000)
	c.TasksMin, c.TasksMax, c.Hints = load.MaxTasks, load.MaxTasks, hints
	return load.Config{Duration: 6_000, Arrivals: "step", Classes: []load.Class{c}}
}

// blockingTrial returns a trial that runs stock checks first alone and then
// together with order batches, to show how much the batches delay the checks.
func blockingTrial(name, objects, hints string) trial {
	return trial{name: name, objects: objects, phases: []phase{{stockChecks(0.3, 5_000, hints)}, {stockChecks(0.3, 6_000, hints), orderBatches(hints)}}}
}

// The load with a peak. Times are in milliseconds; baseLoad is the share of the
// slots that the load uses outside of the peak.
const (
	peakStart   = 2_000
	peakLength  = 3_000
	longRunTime = 200
	baseLoad    = 0.7
)

// peakLoad returns a load of 70% that rises to factor times the capacity during
// the peak, divided among one class per deadline. Jobs have one to three tasks of
// 200 ms (two on average), which keeps the number of jobs low enough that the load
// tool and the proxies are not the bottleneck.
func peakLoad(factor float64, deadlines ...gypsumtide.Millis) phase {
	cfg := load.Config{Duration: 8_000, Arrivals: "poisson", Peak: load.Peak{Factor: factor / baseLoad, Start: peakStart, Length: peakLength}}
	for i, d := range deadlines {
		c := jobClass("hint", "hints", baseLoad*totalSlots*1000/longRunTime/2/float64(len(deadlines)), longRunTime, d)
		c.Name, c.TasksMax = fmt.Sprintf("hint-%d", i), 3
		cfg.Classes = append(cfg.Classes, c)
	}
	return phase{cfg}
}

// The quota of the team named "bounded" is quotaRate tasks per second with a burst
// of quotaBurst tasks. Its load lasts quotaSeconds.
const (
	quotaRate    = 200
	quotaBurst   = 20
	quotaSeconds = 6
)

// experiments returns all experiments in the order of the report.
func experiments() []experiment {
	ratio := experiment{name: "ratio", organisations: []organisation{consortium, ristikko},
		note:    "Response ratio of 50 ms tasks by policy (placement/queue) and load.",
		columns: []string{"p50", "p99", "p99.9", "response p50 ms", "wasted messages per task", "heartbeat frames per task", "recalls, not-started and queries per task", "not complete %"}, values: ratioValues}
	for _, share := range []float64{0.3, 0.7, 0.9} {
		for _, p := range policies {
			ratio.trials = append(ratio.trials, trial{name: fmt.Sprintf("%s/%s %.0f%%", p[0], p[1], share*100), objects: poolObject(p[0], p[1]),
				phases: []phase{{stockChecks(share, 5_000, "right")}}})
		}
	}
	blocking := experiment{name: "blocking", organisations: []organisation{consortium, ristikko}, columns: []string{"p99 without ms", "p99 beside ms", "blocking"}, values: blockingValues,
		note:   "Stock checks of 50 ms at 30% load without and beside order batches of 1,200 tasks of 50 ms, one every 1.5 s. The tasks of a batch run for the same time and so end together, unless the row says that their run times are exponential (mean 50 ms).",
		trials: []trial{blockingTrial("believed-free/fair", poolObject("believed-free", "fair"), "right"), blockingTrial("believed-free/fifo", poolObject("believed-free", "fifo"), "right"), blockingTrial("random/fair", poolObject("random", "fair"), "right"), blockingTrial("believed-free/fair, exponential batches", poolObject("believed-free", "fair"), "right")}}
	// Tasks with equal run times free their slots in waves, and a stock check may
	// have to wait for the next wave. Exponential run times avoid that.
	blocking.trials[3].phases[1][1].Classes[0].Run.Kind = "exponential"
	overload := experiment{name: "crest", organisations: []organisation{ristikko}, columns: []string{"crest service", "refused %", "late or lost %", "recovery s", "violations"}, values: overloadValues,
		note: "Load that rises from 70% to a multiple of the capacity for 3 s (the crest), tasks of 200 ms. Crest service: tasks answered within deadline during the crest / (88 slots x 3 s / 200 ms). Refused and late: share of the jobs sent during the crest. Recovery: time from the end of the crest until the last job was sent that was not complete in time. Violations: history checker, all rules."}
	for _, factor := range []float64{3, 10} {
		for _, queue := range []string{"fair", "fifo"} {
			name := fmt.Sprintf("%gx %s, ", factor, queue)
			overload.trials = append(overload.trials,
				trial{name: name + "deadline 1 s", objects: poolObject("believed-free", queue), phases: []phase{peakLoad(factor, 1_000)}},
				trial{name: name + "deadlines 1 to 5 s", objects: poolObject("believed-free", queue), phases: []phase{peakLoad(factor, 1_000, 2_000, 3_000, 4_000, 5_000)}})
		}
	}
	hints := experiment{name: "hints", organisations: []organisation{consortium}, columns: []string{"ratio p99 without", "ratio p99 beside", "blocking"}, values: hintValues,
		note: "The loads of the blocking experiment with declared run times that are right, 10 times off (up or down at random) or absent."}
	for _, h := range []string{"right", "off", "absent"} {
		hints.trials = append(hints.trials, blockingTrial(h, poolObject("believed-free", "fair"), h))
	}
	slow := experiment{name: "slow", organisations: []organisation{consortium}, values: slowValues,
		columns: []string{"ratio p50", "ratio p99", "failed % 1st s", "2nd s", "3rd s", "later", "last failure s"},
		note:    "50 ms tasks at 40% load; 2 s after the start one of 11 upstreams becomes 5 times slower or fails every task. Figures cover jobs sent after the fault; the ideal uses the declared 50 ms, so slow runs count against the policy."}
	for _, p := range []string{"believed-free", "round-robin"} {
		for _, f := range []struct {
			name   string
			faults worker.Faults
		}{{"5 times slower", worker.Faults{SlowFactor: 5}}, {"fails everything", worker.Faults{FailAll: true}}} {
			slow.trials = append(slow.trials, trial{name: p + ", " + f.name, objects: poolObject(p, "fair"), phases: []phase{{stockChecks(0.4, 8_000, "right")}}, faults: &f.faults})
		}
	}
	fairness := experiment{name: "fairness", organisations: []organisation{consortium}, values: fairnessValues,
		columns: []string{"share/weight of 1", "of 2", "of 4", "overshoot % of the run", "of the first s"},
		note:    "Teams of weight 1, 2 and 4 offer equal parts of 2 times the capacity (tasks of 200 ms, deadline 2 s). Share/weight: the team's share of the tasks completed in time / its share of the weights. Overshoot: a team with a limit of 200 tasks/s and a burst of 20 offers 600 tasks/s of 20 ms through three entries; completed tasks / (rate x time + burst) - 1.",
		trials:  []trial{{name: "believed-free/fair", objects: teamObjects(poolObject("believed-free", "fair")), phases: []phase{teamLoads(), quotaLoad()}}}}
	return []experiment{ratio, blocking, overload, hints, slow, fairness}
}

// teamObjects adds teams to objects: weight-1, weight-2 and weight-4 with these
// weights, and bounded with a quota.
func teamObjects(objects string) string {
	for _, w := range []int{1, 2, 4} {
		objects += fmt.Sprintf("---\nkind: team\nname: weight-%d\nweight: %d\n", w, w)
	}
	return objects + fmt.Sprintf("---\nkind: limit\nname: bound\nrate: %d\nburst: %d\n---\nkind: team\nname: bounded\nlimits: [bound]\n", quotaRate, quotaBurst)
}

// teamLoads returns a phase in which the weighted teams together offer twice the
// capacity, in equal parts.
func teamLoads() phase {
	cfg := load.Config{Duration: 6_000, Arrivals: "poisson"}
	for _, w := range []int{1, 2, 4} {
		c := jobClass("hint", fmt.Sprintf("weight-%d", w), 2*totalSlots*1000/longRunTime/3.0, longRunTime, 2_000)
		c.Name = c.Team
		cfg.Classes = append(cfg.Classes, c)
	}
	return phase{cfg}
}

// quotaLoad returns a phase in which the team named "bounded" offers three times
// its quota.
func quotaLoad() phase {
	c := jobClass("stock-check", "bounded", 3*quotaRate, 20, 1_000)
	return phase{{Duration: quotaSeconds * 1000, Arrivals: "poisson", Classes: []load.Class{c}}}
}
