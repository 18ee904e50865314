package settings

import (
	"fmt"
	"net"

	"gypsumtide"
)

// Common holds the settings that every daemon has.
type Common struct {
	// Name identifies the host slot. A restarted process keeps it.
	Name string `yaml:"name"`
	// Listen is the IP address and port of the HTTP server.
	Listen string `yaml:"listen"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
	// Rack is the rack inside the zone.
	Rack string `yaml:"rack"`
	// SharedKeyFile is the file that holds the key of the system's own processes.
	SharedKeyFile string `yaml:"shared-key-file"`
	// TLS names the certificate files. TLS is off if the certificate is empty.
	TLS TLS `yaml:"tls"`
	// AllowInsecure permits a listen address other than loopback without TLS and a shared key.
	AllowInsecure bool `yaml:"allow-insecure"`
	Log           Log  `yaml:"log"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	CertificateFile string `yaml:"certificate-file"`
	KeyFile         string `yaml:"key-file"`
	// AuthorityFile verifies peers.
	AuthorityFile string `yaml:"authority-file"`
}

// Log controls the log lines.
type Log struct {
	// Level is the highest verbosity written: 0 for operation, 1 for each decision, 2 for detail.
	Level int `yaml:"level"`
	// DecisionSample writes every n-th routing or placement decision; 0 writes none.
	DecisionSample int `yaml:"decision-sample"`
}

// DefaultLog writes every decision.
func DefaultLog() Log { return Log{Level: 1, DecisionSample: 1} }

// CheckCommon returns every error in the common settings.
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
	errs = append(errs, CheckRange("log.level", int64(c.Log.Level), 0, 2)...)
	errs = append(errs, CheckRange("log.decision-sample", int64(c.Log.DecisionSample), 0, 1_000_000)...)
	return errs
}

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

// CheckRange returns an error if n is outside lo to hi.
func CheckRange(key string, n, lo, hi int64) []error {
	if n < lo || n > hi {
		return []error{fmt.Errorf("%s: %d is outside %d to %d", key, n, lo, hi)}
	}
	return nil
}

// CheckMillis returns an error if m is outside lo to hi.
func CheckMillis(key string, m, lo, hi gypsumtide.Millis) []error {
	if m < lo || m > hi {
		return []error{fmt.Errorf("%s: %d ms is outside %d ms to %d ms", key, m, lo, hi)}
	}
	return nil
}
