// Package load is an open-loop load tool: arrivals follow a schedule that slow
// answers never delay, and response times count from the intended arrival.
package load

import (
	"fmt"
	"net/url"

	"gypsumtide"
)

// MaxTasks is the largest job that the entry API accepts.
const MaxTasks = 1200

// Config describes a run.
type Config struct {
	Seed     uint64            `yaml:"seed"`
	Duration gypsumtide.Millis `yaml:"duration-ms"`
	// Targets are base URLs of entries; each job picks one at random.
	Targets []string `yaml:"targets"`
	// Rate is the jobs per second that classes with a share divide.
	Rate float64 `yaml:"rate"`
	// Arrivals is "poisson", or "step" for evenly spaced arrivals at the rate in force.
	Arrivals string  `yaml:"arrivals"`
	Classes  []Class `yaml:"classes"`
	Peak     Peak    `yaml:"swing"`
	// OneWayDelay is the network delay between caller and entry that the ideal response time includes.
	OneWayDelay gypsumtide.Millis `yaml:"trip-ms"`
	// ClientDelay is added by the tool to each way between caller and entry.
	ClientDelay gypsumtide.Millis `yaml:"client-delay-ms"`
	// Slots is the number of tasks that the upstreams can run at once; 0 means unknown.
	Slots int `yaml:"slots"`
	// ResubmitShare of the jobs are sent again through another entry after ResubmitAfter.
	ResubmitShare float64           `yaml:"resubmit-share"`
	ResubmitAfter gypsumtide.Millis `yaml:"resubmit-after-ms"`
	// RetryBroken sends a job again, once, through another entry if its connection breaks.
	RetryBroken bool `yaml:"retry-broken"`
	// RetryRefused sends a job again, once, through another entry after the
	// Retry-After of a not-run refusal.
	RetryRefused bool `yaml:"retry-refused"`
	// CancelShare of the jobs are cancelled after CancelAfter.
	CancelShare float64           `yaml:"cancel-share"`
	CancelAfter gypsumtide.Millis `yaml:"cancel-after-ms"`
	Direct      Direct            `yaml:"direct"`
	// Metrics are base URLs whose /metrics count messages, besides the targets.
	Metrics []string `yaml:"metrics"`
	// History is the file of the callers' history.
	History string `yaml:"history"`
}

// Class is a kind of job.
type Class struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Team    string `yaml:"team"`
	// Rate is in jobs per second; Share divides Config.Rate. One of them is set.
	Rate     float64           `yaml:"rate"`
	Share    float64           `yaml:"share"`
	TasksMin int               `yaml:"tasks-min"`
	TasksMax int               `yaml:"tasks-max"`
	Run      RunTime           `yaml:"run"`
	Deadline gypsumtide.Millis `yaml:"deadline-ms"`
	// Hints is "right", "off" (10 times too high or too low at random) or "absent".
	Hints string `yaml:"hints"`
	// NonIdempotent is the share of jobs so marked.
	NonIdempotent float64         `yaml:"non-idempotent"`
	Size          gypsumtide.Size `yaml:"size"`
	// Steady classes ignore the swing.
	Steady bool `yaml:"steady"`
}

// RunTime is the distribution of a task's run time.
type RunTime struct {
	// Kind is "fixed", "exponential" or "stragglers".
	Kind string            `yaml:"kind"`
	Mean gypsumtide.Millis `yaml:"mean-ms"`
	// A StragglerShare of the tasks runs StragglerFactor times as long.
	StragglerShare  float64 `yaml:"straggler-share"`
	StragglerFactor float64 `yaml:"straggler-factor"`
}

// Peak multiplies the rates by Factor for Length from Start on.
type Peak struct {
	Factor float64           `yaml:"factor"`
	Start  gypsumtide.Millis `yaml:"start-ms"`
	Length gypsumtide.Millis `yaml:"crest-ms"`
	// Period is the time between the starts of repeated peaks; 0 means a single peak.
	Period gypsumtide.Millis `yaml:"period-ms"`
}

// Direct calls upstreams without the dispatcher, for comparison in the same run.
type Direct struct {
	// URLs are complete task URLs of upstreams.
	URLs []string          `yaml:"urls"`
	Rate float64           `yaml:"rate"`
	Run  gypsumtide.Millis `yaml:"run-ms"`
	// Lease is the lease generation that the upstreams expect.
	Lease string `yaml:"lease"`
}

// Default returns a Config that needs only targets.
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
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if len(c.Targets) == 0 {
		fault("targets: must not be empty")
	}
	for _, t := range append(append(append([]string(nil), c.Targets...), c.Metrics...), c.Direct.URLs...) {
		if u, err := url.Parse(t); err != nil || u.Host == "" {
			fault("url: %q is not a base URL", t)
		}
	}
	if c.Duration <= 0 {
		fault("duration-ms: must be positive")
	}
	if c.Arrivals != "poisson" && c.Arrivals != "step" {
		fault("arrivals: %q is neither poisson nor step", c.Arrivals)
	}
	if c.Peak.Factor < 0 || c.Peak.Period != 0 && c.Peak.Period <= c.Peak.Length {
		fault("swing: factor must not be negative, and period-ms must exceed crest-ms")
	}
	if c.Direct.Rate > 0 && len(c.Direct.URLs) == 0 {
		fault("direct: rate needs urls")
	}
	for _, s := range []float64{c.ResubmitShare, c.CancelShare} {
		if s < 0 || s > 1 {
			fault("share: %g is outside 0 to 1", s)
		}
	}
	for i := range c.Classes {
		for _, err := range c.Classes[i].check() {
			fault("classes: %s: %w", c.Classes[i].Name, err)
		}
	}
	return errs
}

func (c *Class) check() []error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if c.Name == "" || c.Service == "" || c.Team == "" {
		fault("name, service and team must not be empty")
	}
	if (c.Rate > 0) == (c.Share > 0) {
		fault("set one of rate and share")
	}
	if c.TasksMin < 1 || c.TasksMax < c.TasksMin || c.TasksMax > MaxTasks {
		fault("tasks-min and tasks-max must lie in 1 to %d", MaxTasks)
	}
	switch c.Run.Kind {
	case "fixed", "exponential", "stragglers":
	default:
		fault("run.kind: %q is not fixed, exponential or stragglers", c.Run.Kind)
	}
	switch c.Hints {
	case "right", "off", "absent":
	default:
		fault("hints: %q is not right, off or absent", c.Hints)
	}
	if c.Deadline <= 0 {
		fault("deadline-ms: must be positive")
	}
	return errs
}
