package settings

import (
	"fmt"
	"net/url"

	"gypsumtide"
)

// Entry holds the settings of gypsumtide-entry.
type Entry struct {
	Common `yaml:",inline"`
	// URL is the base URL under which other processes reach this entry. The
	// default follows from the listen address.
	URL string `yaml:"url"`
	// LogURL is the base URL of the platform's log.
	LogURL string `yaml:"log-url"`
	// Peers are base URLs of other entries, needed only while the log is down.
	Peers []string `yaml:"peers"`
	// LogRetention is the time for which the platform's log keeps records.
	LogRetention gypsumtide.Millis `yaml:"log-retention-ms"`
	// MaxSkew bounds the clock skew between entries. The freshness of ids after
	// a takeover rests on it, and twice its length is the time for which ids
	// stay in doubt.
	MaxSkew gypsumtide.Millis `yaml:"max-skew-ms"`
	// MaxAhead is how far ahead of the entry's clock an id may be stamped. A
	// request whose id is ahead by more than half of max-skew-ms waits.
	MaxAhead gypsumtide.Millis `yaml:"max-ahead-ms"`
	// IDRetention is the age beyond which a submission id is refused as expired.
	IDRetention gypsumtide.Millis `yaml:"id-retention-ms"`
	// AnswerRetention is the time for which answers are kept for resubmissions.
	AnswerRetention gypsumtide.Millis `yaml:"answer-retention-ms"`
	// MaxTableBytes bounds the memory of remembered ids and answers.
	MaxTableBytes int64 `yaml:"max-table-bytes"`
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks int `yaml:"max-tasks"`
	// MaxPayloadBytes is the largest payload of a task.
	MaxPayloadBytes int `yaml:"max-payload-bytes"`
	// MaxJobBytes is the largest body of a submission.
	MaxJobBytes int64 `yaml:"max-job-bytes"`
	// DefaultDeadline applies to jobs that name none.
	DefaultDeadline gypsumtide.Millis `yaml:"default-deadline-ms"`
	// MaxDeadline is the longest deadline that a job may name.
	MaxDeadline gypsumtide.Millis `yaml:"max-deadline-ms"`
	// DrainTimeout bounds a graceful stop.
	DrainTimeout gypsumtide.Millis `yaml:"drain-timeout-ms"`
}

// DefaultEntry returns the defaults, which run as they are on loopback.
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

// Check implements Checker.
func (c *Entry) Check() []error {
	errs := c.CheckCommon()
	if c.URL == "" {
		c.URL = "http://" + c.Listen
		if c.TLS.CertificateFile != "" {
			c.URL = "https://" + c.Listen
		}
	}
	for _, u := range append([]string{c.URL, c.LogURL}, c.Peers...) {
		errs = append(errs, CheckURL("url, log-url, peers", u)...)
	}
	errs = append(errs, CheckMillis("log-retention-ms", c.LogRetention, 1_000, 90*86_400_000)...)
	errs = append(errs, CheckMillis("max-skew-ms", c.MaxSkew, 1, 10_000)...)
	errs = append(errs, CheckMillis("max-ahead-ms", c.MaxAhead, c.MaxSkew, 60_000)...)
	errs = append(errs, CheckMillis("id-retention-ms", c.IDRetention, 1_000, 86_400_000)...)
	errs = append(errs, CheckMillis("answer-retention-ms", c.AnswerRetention, 0, c.IDRetention)...)
	errs = append(errs, CheckRange("max-table-bytes", c.MaxTableBytes, 1<<20, 1<<36)...)
	errs = append(errs, CheckRange("max-tasks", int64(c.MaxTasks), 1, 100_000)...)
	errs = append(errs, CheckRange("max-payload-bytes", int64(c.MaxPayloadBytes), 1, 16<<20)...)
	errs = append(errs, CheckRange("max-job-bytes", c.MaxJobBytes, 1, 48<<20)...)
	errs = append(errs, CheckMillis("default-deadline-ms", c.DefaultDeadline, 1, c.MaxDeadline)...)
	errs = append(errs, CheckMillis("max-deadline-ms", c.MaxDeadline, 1, c.IDRetention)...)
	errs = append(errs, CheckMillis("drain-timeout-ms", c.DrainTimeout, 0, 3_600_000)...)
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
