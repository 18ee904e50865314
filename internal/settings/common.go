package settings

import (
	"fmt"
	"net"

	"gypsumtide"
	"gypsumtide/internal/clientlimit"
)

// Common holds the settings that every daemon has.
type Common struct {
	// Name identifies the process across restarts, so it must not change when the
	// process is restarted.
	Name string `yaml:"name"`
	// Listen is the IP address and port that the HTTP server listens on.
	Listen string `yaml:"listen"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
	// Rack is the rack within the zone.
	Rack string `yaml:"rack"`
	// SharedKeyFile is the path of the file with the key that all processes of the
	// system share.
	SharedKeyFile string `yaml:"shared-key-file"`
	// TLS holds the paths of the certificate files. The server does not use TLS if
	// CertificateFile is empty.
	TLS TLS `yaml:"tls"`
	// AllowInsecure permits a listen address other than loopback without TLS or
	// without a shared key.
	AllowInsecure bool `yaml:"allow-insecure"`
	Log           Log  `yaml:"log"`
	// MemoryMb is the memory of the machine in MiB, and MaxFds the number of descriptors that
	// the process may open. 0 means clientlimit.DefaultMemoryMb, and the limit that the
	// operating system has set.
	MemoryMb int `yaml:"memory-mb"`
	MaxFds   int `yaml:"max-fds"`
}

// Limits returns the limits of the machine.
func (c *Common) Limits() clientlimit.Limits {
	return clientlimit.Limits{MemoryMb: c.MemoryMb, MaxFds: c.MaxFds}
}

// TLS holds the paths of PEM files. The server's certificate and key are reloaded when
// the files change.
type TLS struct {
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
	// AuthorityFile holds the CA certificates that peers are verified against.
	AuthorityFile string `yaml:"authority-file"`
}

// Log controls which log lines are written.
type Log struct {
	// Level is the highest verbosity that is logged: 0 for operational events, 1 to add
	// the decisions about jobs and tasks, 2 to add details.
	Level int `yaml:"level"`
	// DecisionSample is the sampling interval of the decisions about jobs and tasks,
	// such as routes, placements and refusals: every n-th decision is logged; 0 logs none.
	DecisionSample int `yaml:"decision-sample"`
}

// DefaultLog returns settings that log every decision.
func DefaultLog() Log { return Log{Level: 1, DecisionSample: 1} }

// CheckCommon validates the common settings and returns every error found.
func (c *Common) CheckCommon() []error {
	var errs []error
	if c.Name == "" {
		errs = append(errs, fmt.Errorf("name: must not be empty"))
	}
	if c.Zone == "" {
		errs = append(errs, fmt.Errorf("zone: must not be empty"))
	}
	errs = append(errs, c.checkListen()...)
	if (c.TLS.CertificateFile == "") != (c.TLS.KeyFile == "") {
		errs = append(errs, fmt.Errorf("tls: certificate-file and key-file go together"))
	}
	if c.MemoryMb != 0 {
		errs = append(errs, CheckRange("memory-mb", int64(c.MemoryMb), clientlimit.MinMemoryMb, 1<<20)...)
	}
	if c.MaxFds != 0 {
		errs = append(errs, CheckRange("max-fds", int64(c.MaxFds), clientlimit.MinMaxFds, 1<<24)...)
	}
	errs = append(errs, CheckRange("log.level", int64(c.Log.Level), 0, 2)...)
	errs = append(errs, CheckRange("log.decision-sample", int64(c.Log.DecisionSample), 0, 1_000_000)...)
	return errs
}

// checkListen requires TLS and a shared key for a listen address other than loopback,
// unless AllowInsecure is set.
func (c *Common) checkListen() []error {
	host, _, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return []error{fmt.Errorf("listen: %w", err)}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return []error{fmt.Errorf("listen: %q is not an IP address", host)}
	}
	secure := c.TLS.CertificateFile != "" && c.SharedKeyFile != ""
	if !ip.IsLoopback() && !secure && !c.AllowInsecure {
		return []error{fmt.Errorf("listen: %s is not loopback: set tls and shared-key-file, or allow-insecure", host)}
	}
	return nil
}

// CheckRange returns an error for key if n is less than lo or greater than hi.
func CheckRange(key string, n, lo, hi int64) []error {
	if n < lo || n > hi {
		return []error{fmt.Errorf("%s: %d is outside %d to %d", key, n, lo, hi)}
	}
	return nil
}

// CheckMillis returns an error for key if m is less than lo or greater than hi.
func CheckMillis(key string, m, lo, hi gypsumtide.Millis) []error {
	if m < lo || m > hi {
		return []error{fmt.Errorf("%s: %d ms is outside %d ms to %d ms", key, m, lo, hi)}
	}
	return nil
}
