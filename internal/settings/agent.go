package settings

import (
	"fmt"
	"net/url"
	"os"

	"gypsumtide"
)

// Agent holds the settings of gypsumtide-agent.
type Agent struct {
	Common `yaml:",inline"`
	// Entries are the base URLs of the entries to connect to first. The agent learns the
	// other entries from them.
	Entries []string `yaml:"entries"`
	// QueueLength is the maximum number of tasks that wait for a slot.
	QueueLength int `yaml:"queue-length"`
	// ReserveShortPercent is the percentage of slots that long tasks may not use while
	// short ones arrive. Once a configuration has been published, the smallest percentage
	// of the pools in the agent's availability zone replaces it.
	ReserveShortPercent int `yaml:"reserve-short-percent"`
	// Slots, Connections and LeaseTTL apply to upstreams that do not announce their own.
	Slots       int               `yaml:"slots"`
	Connections int               `yaml:"connections"`
	LeaseTTL    gypsumtide.Millis `yaml:"lease-ttl-ms"`
	// ResultRetention is the time for which results are kept so that they can be sent
	// again if the home of a job, the entry that owns its shard, has lost them.
	ResultRetention gypsumtide.Millis `yaml:"result-retention-ms"`
	// ResultBytes bounds the total size of the results kept.
	ResultBytes int `yaml:"result-bytes"`
	// IDRetention is the time for which submission ids are kept to detect tasks that
	// are dispatched again. It must be the same for all processes.
	IDRetention gypsumtide.Millis `yaml:"id-retention-ms"`
	// MaxRunTime is the time after which the agent stops waiting for a started task.
	MaxRunTime gypsumtide.Millis `yaml:"max-run-time-ms"`
	// DrainTimeout bounds the wait for running tasks at shutdown.
	DrainTimeout gypsumtide.Millis `yaml:"drain-timeout-ms"`
	// HeartbeatInterval is the maximum time between two frames to an entry.
	HeartbeatInterval gypsumtide.Millis `yaml:"heartbeat-ms"`
	// ReceiveTimeout is the time without a received frame after which a session counts
	// as broken.
	ReceiveTimeout gypsumtide.Millis `yaml:"silence-ms"`
	// EntryGrace is how long the agent keeps connecting to an entry that no other entry
	// lists any more.
	EntryGrace gypsumtide.Millis `yaml:"entry-grace-ms"`
	// MaxEchoAge is the age of a dispatch's echo above which the agent refuses new tasks.
	// The echo is a clock reading of the agent that the sender of the dispatch returns.
	MaxEchoAge gypsumtide.Millis `yaml:"credit-ms"`
	Ejection   Ejection          `yaml:"ejection"`
}

// Ejection controls when a failing upstream stops receiving tasks and when it is
// tried again.
type Ejection struct {
	// Window is the age up to which the results of tasks count.
	Window gypsumtide.Millis `yaml:"window-ms"`
	// MinResults is the number of results that is needed to eject a serving upstream. An
	// upstream that is being probed is ejected again by one failed probe.
	MinResults int `yaml:"min-results"`
	// FailurePercent is the percentage of failures from which an upstream is ejected.
	FailurePercent int `yaml:"failure-percent"`
	// BackOff is the time from an ejection to the first probe. It doubles with each
	// failed probe up to MaxBackOff.
	BackOff    gypsumtide.Millis `yaml:"back-off-ms"`
	MaxBackOff gypsumtide.Millis `yaml:"max-back-off-ms"`
	// Probes is the number of consecutive successful probes after which an upstream
	// serves again.
	Probes int `yaml:"probes"`
}

// DefaultAgent returns the defaults, with which an agent can run on loopback.
func DefaultAgent() *Agent {
	name, err := os.Hostname()
	if err != nil || name == "" {
		name = "agent"
	}
	return &Agent{
		Common:              Common{Name: name, Listen: "127.0.0.1:7101", Zone: "zone-1", Rack: "rack-1", Log: DefaultLog()},
		Entries:             []string{"http://127.0.0.1:7001"},
		QueueLength:         64,
		ReserveShortPercent: 25,
		Slots:               8,
		Connections:         64,
		LeaseTTL:            2000,
		ResultRetention:     60_000,
		ResultBytes:         16 << 20,
		IDRetention:         600_000,
		MaxRunTime:          300_000,
		DrainTimeout:        30_000,
		HeartbeatInterval:   300,
		ReceiveTimeout:      1500,
		EntryGrace:          30_000,
		MaxEchoAge:          1000,
		Ejection:            Ejection{Window: 5000, MinResults: 8, FailurePercent: 80, BackOff: 1000, MaxBackOff: 30_000, Probes: 3},
	}
}

// Check implements Checker.
func (a *Agent) Check() []error {
	errs := a.CheckCommon()
	if len(a.Entries) == 0 {
		errs = append(errs, fmt.Errorf("entries: must name at least one entry"))
	}
	for _, entry := range a.Entries {
		u, err := url.Parse(entry)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			errs = append(errs, fmt.Errorf("entries: %q is not an http or https URL with a host", entry))
		}
	}
	errs = append(errs, CheckRange("queue-length", int64(a.QueueLength), 0, 100_000)...)
	errs = append(errs, CheckRange("reserve-short-percent", int64(a.ReserveShortPercent), 0, 90)...)
	errs = append(errs, CheckRange("slots", int64(a.Slots), 1, 10_000)...)
	errs = append(errs, CheckRange("connections", int64(a.Connections), 1, 100_000)...)
	errs = append(errs, CheckMillis("lease-ttl-ms", a.LeaseTTL, 100, 60_000)...)
	errs = append(errs, CheckMillis("result-retention-ms", a.ResultRetention, 1000, a.IDRetention)...)
	errs = append(errs, CheckRange("result-bytes", int64(a.ResultBytes), 0, 1<<30)...)
	errs = append(errs, CheckMillis("id-retention-ms", a.IDRetention, 10_000, 86_400_000)...)
	errs = append(errs, CheckMillis("max-run-time-ms", a.MaxRunTime, 100, 86_400_000)...)
	errs = append(errs, CheckMillis("drain-timeout-ms", a.DrainTimeout, 0, 600_000)...)
	errs = append(errs, CheckMillis("heartbeat-ms", a.HeartbeatInterval, 10, 10_000)...)
	errs = append(errs, CheckMillis("silence-ms", a.ReceiveTimeout, 2*a.HeartbeatInterval, 60_000)...)
	errs = append(errs, CheckMillis("entry-grace-ms", a.EntryGrace, 0, 3_600_000)...)
	errs = append(errs, CheckMillis("credit-ms", a.MaxEchoAge, 2*a.HeartbeatInterval, 1000)...)
	return append(errs, a.Ejection.check()...)
}

func (e *Ejection) check() []error {
	errs := CheckMillis("ejection.window-ms", e.Window, 100, 600_000)
	// Package upstream keeps only the last 64 results.
	errs = append(errs, CheckRange("ejection.min-results", int64(e.MinResults), 1, 64)...)
	errs = append(errs, CheckRange("ejection.failure-percent", int64(e.FailurePercent), 1, 100)...)
	errs = append(errs, CheckMillis("ejection.back-off-ms", e.BackOff, 10, 600_000)...)
	errs = append(errs, CheckMillis("ejection.max-back-off-ms", e.MaxBackOff, e.BackOff, 3_600_000)...)
	return append(errs, CheckRange("ejection.probes", int64(e.Probes), 1, 100)...)
}
