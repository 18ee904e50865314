package settings

import (
	"fmt"
	"net/url"

	"gypsumtide"
)

// Entry holds the settings of gypsumtide-entry.
type Entry struct {
	Common `yaml:",inline"`
	// URL is the base URL at which other processes reach this entry. The default is
	// derived from the listen address.
	URL string `yaml:"url"`
	// LogURL is the base URL of the platform's log.
	LogURL string `yaml:"log-url"`
	// Peers are the base URLs of other entries. They are needed only while the log is
	// unavailable.
	Peers []string `yaml:"peers"`
	// LogRetention is the time for which the platform's log keeps records.
	LogRetention gypsumtide.Millis `yaml:"log-retention-ms"`
	// MaxSkew is the maximum clock skew between entries. An entry that takes over a shard
	// from its previous home relies on it to distinguish new ids from those that the
	// previous home may have accepted: an id with a timestamp up to twice MaxSkew after
	// the takeover may be either.
	MaxSkew gypsumtide.Millis `yaml:"max-skew-ms"`
	// MaxAhead is how far the timestamp of an id may be ahead of the entry's clock. A
	// request is delayed until its id is ahead by no more than half of MaxSkew.
	MaxAhead gypsumtide.Millis `yaml:"max-ahead-ms"`
	// IDRetention is the age above which a submission id is rejected as expired.
	IDRetention gypsumtide.Millis `yaml:"id-retention-ms"`
	// AnswerRetention is the time for which answers are kept for repeated submissions.
	AnswerRetention gypsumtide.Millis `yaml:"answer-retention-ms"`
	// MaxTableBytes bounds the memory used for known submission ids and their answers.
	MaxTableBytes int64 `yaml:"max-table-bytes"`
	// MaxTasks is the maximum number of tasks in a job.
	MaxTasks int `yaml:"max-tasks"`
	// MaxPayloadBytes is the maximum size of a task's payload.
	MaxPayloadBytes int `yaml:"max-payload-bytes"`
	// MaxJobBytes is the maximum size of the body of a submission.
	MaxJobBytes int64 `yaml:"max-job-bytes"`
	// DefaultDeadline applies to jobs without a deadline of their own.
	DefaultDeadline gypsumtide.Millis `yaml:"default-deadline-ms"`
	// MaxDeadline is the longest deadline that a job may set.
	MaxDeadline gypsumtide.Millis `yaml:"max-deadline-ms"`
	// DrainTimeout bounds the duration of a graceful shutdown.
	DrainTimeout gypsumtide.Millis `yaml:"drain-timeout-ms"`
}

// DefaultEntry returns the defaults, with which an entry can run on loopback.
func DefaultEntry() *Entry {
	return &Entry{
		Common:          Common{Name: "entry-1", Listen: "127.0.0.1:7001", Zone: "zone-1", Rack: "rack-1", Log: DefaultLog()},
		LogURL:          "http://127.0.0.1:7000",
		LogRetention:    3_600_000,
		MaxSkew:         100,
		MaxAhead:        1_000,
		IDRetention:     600_000,
		AnswerRetention: 60_000,
		MaxTableBytes:   48 << 20,
		MaxTasks:        1_200,
		MaxPayloadBytes: 1 << 20,
		MaxJobBytes:     16 << 20,
		DefaultDeadline: 10_000,
		MaxDeadline:     600_000,
		DrainTimeout:    30_000,
	}
}

// Check implements Checker. If URL is empty, it sets the default.
func (e *Entry) Check() []error {
	errs := e.CheckCommon()
	if e.URL == "" {
		e.URL = "http://" + e.Listen
		if e.TLS.CertificateFile != "" {
			e.URL = "https://" + e.Listen
		}
	}
	for _, u := range append([]string{e.URL, e.LogURL}, e.Peers...) {
		errs = append(errs, CheckURL("url, log-url, peers", u)...)
	}
	errs = append(errs, CheckMillis("log-retention-ms", e.LogRetention, 1_000, 90*86_400_000)...)
	errs = append(errs, CheckMillis("max-skew-ms", e.MaxSkew, 1, 10_000)...)
	errs = append(errs, CheckMillis("max-ahead-ms", e.MaxAhead, e.MaxSkew, 60_000)...)
	errs = append(errs, CheckMillis("id-retention-ms", e.IDRetention, 1_000, 86_400_000)...)
	errs = append(errs, CheckMillis("answer-retention-ms", e.AnswerRetention, 0, e.IDRetention)...)
	errs = append(errs, CheckRange("max-table-bytes", e.MaxTableBytes, 1<<20, 1<<36)...)
	errs = append(errs, CheckRange("max-tasks", int64(e.MaxTasks), 1, 100_000)...)
	errs = append(errs, CheckRange("max-payload-bytes", int64(e.MaxPayloadBytes), 1, 16<<20)...)
	errs = append(errs, CheckRange("max-job-bytes", e.MaxJobBytes, 1, 48<<20)...)
	errs = append(errs, CheckMillis("default-deadline-ms", e.DefaultDeadline, 1, e.MaxDeadline)...)
	errs = append(errs, CheckMillis("max-deadline-ms", e.MaxDeadline, 1, e.IDRetention)...)
	errs = append(errs, CheckMillis("drain-timeout-ms", e.DrainTimeout, 0, 3_600_000)...)
	return errs
}

// CheckURL returns an error if raw is not an absolute HTTP URL.
func CheckURL(key, raw string) []error {
	u, err := url.Parse(raw)
	if err != nil {
		return []error{fmt.Errorf("%s: %w", key, err)}
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return []error{fmt.Errorf("%s: %q is not an http or https URL", key, raw)}
	}
	return nil
}
