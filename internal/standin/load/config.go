// Package load submits jobs to the entries of a deployment as callers do. The load
// is open-loop: jobs are sent on a fixed schedule, no matter how long responses
// take, and response times count from the scheduled arrival.
//
// An entry is the process of the dispatcher that accepts jobs. A job consists of
// one or more tasks, each of which the dispatcher sends to an upstream.
package load

import (
	"fmt"
	"net/url"

	"gypsumtide"
)

// MaxTasks is the highest number of tasks in a job that an entry accepts by default.
const MaxTasks = 1200

// Config describes the load of a run.
type Config struct {
	// Seed determines the arrivals and all random choices about the jobs.
	Seed     uint64            `yaml:"seed"`
	Duration gypsumtide.Millis `yaml:"duration-ms"`
	// Targets are the base URLs of entries. Each job goes to a random one, and a second
	// attempt to another one if there is more than one.
	Targets []string `yaml:"targets"`
	// Rate is the number of jobs per second that is divided among the classes with a share.
	Rate float64 `yaml:"rate"`
	// Arrivals is "poisson", or "step" for evenly spaced arrivals at the current rate.
	Arrivals string  `yaml:"arrivals"`
	Classes  []Class `yaml:"classes"`
	Peak     Peak    `yaml:"swing"`
	// OneWayDelay is the network delay between caller and entry that the ideal response time includes.
	OneWayDelay gypsumtide.Millis `yaml:"trip-ms"`
	// ClientDelay is an artificial delay before a job is sent and after its response.
	ClientDelay gypsumtide.Millis `yaml:"client-delay-ms"`
	// Slots is the number of tasks that all upstreams together can run at once; 0 means unknown.
	Slots int `yaml:"slots"`
	// ResubmitShare is the share of jobs that are sent again after ResubmitAfter. No job is
	// sent more than twice.
	ResubmitShare float64           `yaml:"resubmit-share"`
	ResubmitAfter gypsumtide.Millis `yaml:"resubmit-after-ms"`
	// RetryBroken sends a job once more if the response does not arrive in full, for
	// example because the connection breaks.
	RetryBroken bool `yaml:"retry-broken"`
	// RetryRefused sends a job that was refused with the outcome not-run once more after
	// the Retry-After of the refusal, if it has one.
	RetryRefused bool `yaml:"retry-refused"`
	// CancelShare is the share of jobs that are cancelled after CancelAfter.
	CancelShare float64           `yaml:"cancel-share"`
	CancelAfter gypsumtide.Millis `yaml:"cancel-after-ms"`
	Direct      Direct            `yaml:"direct"`
	// Metrics are the base URLs of processes whose message counters are read from
	// /metrics in addition to those of the targets.
	Metrics []string `yaml:"metrics"`
	// History is the file to which the attempts are written; empty means none.
	History string `yaml:"history"`
}

// Class describes jobs with the same service, team, rate, size and deadline.
type Class struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Team    string `yaml:"team"`
	// Exactly one of Rate, in jobs per second, and Share, a weight for dividing
	// Config.Rate, is set.
	Rate     float64           `yaml:"rate"`
	Share    float64           `yaml:"share"`
	TasksMin int               `yaml:"tasks-min"`
	TasksMax int               `yaml:"tasks-max"`
	Run      RunTime           `yaml:"run"`
	Deadline gypsumtide.Millis `yaml:"deadline-ms"`
	// Hints says how the declared run times relate to the real ones: "right",
	// "off" (10 times too high or too low, at random) or "absent".
	Hints string `yaml:"hints"`
	// NonIdempotent is the share of jobs that are marked as non-idempotent.
	NonIdempotent float64 `yaml:"non-idempotent"`
	// Size is the resource need that each task declares.
	Size gypsumtide.Size `yaml:"size"`
	// Steady classes keep their rate during peaks.
	Steady bool `yaml:"steady"`
}

// RunTime is the distribution of a task's run time.
type RunTime struct {
	// Kind is "fixed", "exponential" or "stragglers".
	Kind string `yaml:"kind"`
	// Mean is the mean run time, or the run time of tasks that are not stragglers.
	Mean gypsumtide.Millis `yaml:"mean-ms"`
	// StragglerShare is the share of tasks that run StragglerFactor times as long.
	StragglerShare  float64 `yaml:"straggler-share"`
	StragglerFactor float64 `yaml:"straggler-factor"`
}

// Peak multiplies the rates of the classes that are not steady by Factor for
// Length from Start on. There is no peak if Factor or Length is 0.
type Peak struct {
	Factor float64           `yaml:"factor"`
	Start  gypsumtide.Millis `yaml:"start-ms"`
	Length gypsumtide.Millis `yaml:"crest-ms"`
	// Period is the time between the starts of repeated peaks; 0 means a single peak.
	Period gypsumtide.Millis `yaml:"period-ms"`
}

// Direct describes calls of upstreams without the dispatcher, for comparison within the same run.
type Direct struct {
	// URLs are the complete URLs, including the path, to which tasks are sent.
	URLs []string          `yaml:"urls"`
	Rate float64           `yaml:"rate"`
	Run  gypsumtide.Millis `yaml:"run-ms"`
	// Lease is the generation of the upstreams' lease, which every call must carry.
	Lease string `yaml:"lease"`
}

// Default returns the settings of the load command before a file and flags
// override them.
func Default() *Config {
	return &Config{
		Seed: 1, Duration: 10_000, Rate: 50, Arrivals: "poisson", OneWayDelay: 0, RetryBroken: true,
		Targets: []string{"http://127.0.0.1:8080"},
		Classes: []Class{{Name: "short", Service: "stock-check", Team: "shop", Share: 1, TasksMin: 1, TasksMax: 1,
			Run: RunTime{Kind: "fixed", Mean: 50}, Deadline: 5_000, Hints: "right"}},
	}
}

// Check implements settings.Checker.
func (c *Config) Check() []error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if len(c.Targets) == 0 {
		addError("targets: must not be empty")
	}
	for _, t := range append(append(append([]string(nil), c.Targets...), c.Metrics...), c.Direct.URLs...) {
		if u, err := url.Parse(t); err != nil || u.Host == "" {
			addError("targets, metrics or direct.urls: %q is not an absolute URL", t)
		}
	}
	if c.Duration <= 0 {
		addError("duration-ms: must be positive")
	}
	if c.Arrivals != "poisson" && c.Arrivals != "step" {
		addError("arrivals: %q is neither poisson nor step", c.Arrivals)
	}
	if c.Peak.Factor < 0 || c.Peak.Period != 0 && c.Peak.Period <= c.Peak.Length {
		addError("swing: factor must not be negative, and period-ms must exceed crest-ms")
	}
	if c.Direct.Rate > 0 && len(c.Direct.URLs) == 0 {
		addError("direct: urls must not be empty if rate is set")
	}
	for _, s := range []float64{c.ResubmitShare, c.CancelShare} {
		if s < 0 || s > 1 {
			addError("resubmit-share or cancel-share: %g is not between 0 and 1", s)
		}
	}
	for i := range c.Classes {
		for _, err := range c.Classes[i].check() {
			addError("classes: %s: %w", c.Classes[i].Name, err)
		}
	}
	return errs
}

func (c *Class) check() []error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.Name == "" || c.Service == "" || c.Team == "" {
		addError("name, service and team must not be empty")
	}
	if (c.Rate > 0) == (c.Share > 0) {
		addError("exactly one of rate and share must be set")
	}
	if c.TasksMin < 1 || c.TasksMax < c.TasksMin || c.TasksMax > MaxTasks {
		addError("tasks-min and tasks-max must lie in 1 to %d", MaxTasks)
	}
	switch c.Run.Kind {
	case "fixed", "exponential", "stragglers":
	default:
		addError("run.kind: %q is not fixed, exponential or stragglers", c.Run.Kind)
	}
	switch c.Hints {
	case "right", "off", "absent":
	default:
		addError("hints: %q is not right, off or absent", c.Hints)
	}
	if c.Deadline <= 0 {
		addError("deadline-ms: must be positive")
	}
	return errs
}
