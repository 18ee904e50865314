package agent

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"gypsumtide/internal/settings"
)

// certificates serves the certificate files and reads them again when they change.
type certificates struct {
	cfg settings.TLS

	mu      sync.Mutex
	current *tls.Certificate
	changed [2]time.Time
}

// serverTLS returns nil if TLS is off. Faults in the files show at the start.
func serverTLS(cfg settings.TLS) (*tls.Config, error) {
	if cfg.Certificate == "" {
		return nil, nil
	}
	c := &certificates{cfg: cfg}
	if _, err := c.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: c.get}, nil
}

// get keeps the last good certificate if the new files are faulty, since they
// may be half written.
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed [2]time.Time
	for i, path := range []string{c.cfg.Certificate, c.cfg.Key} {
		if info, err := os.Stat(path); err == nil {
			changed[i] = info.ModTime()
		}
	}
	if c.current != nil && changed == c.changed {
		return c.current, nil
	}
	cert, err := tls.LoadX509KeyPair(c.cfg.Certificate, c.cfg.Key)
	if err == nil {
		c.current, c.changed = &cert, changed
	}
	if c.current == nil {
		return nil, fmt.Errorf("agent: certificate: %w", err)
	}
	return c.current, nil
}

// clientTLS returns the configuration for dialling, or nil for the authorities
// of the system. Each new client reads the file again.
func clientTLS(cfg settings.TLS) (*tls.Config, error) {
	if cfg.Authority == "" {
		return nil, nil
	}
	data, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return nil, fmt.Errorf("agent: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("agent: authority: %w", errors.New("no certificate in "+cfg.Authority))
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}
