package platformlog

import (
	"fmt"
	"net"

	"gypsumtide"
	"gypsumtide/internal/settings"
)

// Settings configures the stand-in. A value of 0 disables Retention, RetentionRecords
// and AppendsPerSecond.
type Settings struct {
	// Listen is the loopback address and port of the server.
	Listen string `yaml:"listen"`
	// Retention is the age in milliseconds above which a record is no longer available.
	Retention gypsumtide.Millis `yaml:"retention-ms"`
	// RetentionRecords is the maximum number of records kept in a stream.
	RetentionRecords int `yaml:"retention-records"`
	// AppendsPerSecond limits the append rate over all streams.
	AppendsPerSecond int `yaml:"appends-per-second"`
	// AppendMillis is the simulated duration of a synced write.
	AppendMillis gypsumtide.Millis `yaml:"append-ms"`
	// MaxRecordBytes limits the size of a record.
	MaxRecordBytes int64        `yaml:"max-record-bytes"`
	Log            settings.Log `yaml:"log"`
}

// DefaultSettings returns the default settings. They follow the figures that the
// platform gives for its log: several hundred appends per second, each of which takes several
// milliseconds.
func DefaultSettings() Settings {
	return Settings{
		Listen:           "127.0.0.1:7000",
		Retention:        60 * 60 * 1000,
		AppendsPerSecond: 500,
		AppendMillis:     4,
		MaxRecordBytes:   16 << 20,
		Log:              settings.DefaultLog(),
	}
}

// Check implements settings.Checker.
func (c *Settings) Check() []error {
	var errs []error
	host, _, err := net.SplitHostPort(c.Listen)
	if err != nil {
		errs = append(errs, fmt.Errorf("listen: %w", err))
	} else if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		errs = append(errs, fmt.Errorf("listen: %q is not a loopback address", host))
	}
	errs = append(errs, settings.CheckMillis("retention-ms", c.Retention, 0, 7*24*60*60*1000)...)
	errs = append(errs, settings.CheckRange("retention-records", int64(c.RetentionRecords), 0, 10_000_000)...)
	errs = append(errs, settings.CheckRange("appends-per-second", int64(c.AppendsPerSecond), 0, 1_000_000)...)
	errs = append(errs, settings.CheckMillis("append-ms", c.AppendMillis, 0, 60_000)...)
	errs = append(errs, settings.CheckRange("max-record-bytes", c.MaxRecordBytes, 1, 256<<20)...)
	return errs
}
