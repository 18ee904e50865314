// Package certificate reads the TLS files and the shared key of the system's
// own processes.
package certificate

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"gypsumtide/internal/settings"
)

// idleTimeout ends connections that carry no request.
const idleTimeout = 90 * time.Second

// checkInterval bounds how often handshakes look for changed files.
const checkInterval = time.Second

// files serves the certificate files and reads them again when they change.
type files struct {
	cfg settings.TLS
	now func() time.Time

	mu      sync.Mutex
	current *tls.Certificate
	changed [2]time.Time
	checked time.Time
}

// ServerConfig returns the configuration of a TLS listener, or nil if TLS is off.
// Faults in the files show at the start.
func ServerConfig(cfg settings.TLS) (*tls.Config, error) {
	return server(cfg, time.Now)
}

func server(cfg settings.TLS, now func() time.Time) (*tls.Config, error) {
	if cfg.CertificateFile == "" {
		return nil, nil
	}
	f := &files{cfg: cfg, now: now}
	if _, err := f.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: f.get}, nil
}

// get keeps the last good certificate if the new files are faulty, since they
// may be half written.
func (f *files) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.current != nil && now.Sub(f.checked) < checkInterval {
		return f.current, nil
	}
	f.checked = now
	var changed [2]time.Time
	for i, path := range []string{f.cfg.CertificateFile, f.cfg.KeyFile} {
		if info, err := os.Stat(path); err == nil {
			changed[i] = info.ModTime()
		}
	}
	if f.current != nil && changed == f.changed {
		return f.current, nil
	}
	cert, err := tls.LoadX509KeyPair(f.cfg.CertificateFile, f.cfg.KeyFile)
	if err == nil {
		f.current, f.changed = &cert, changed
	}
	if f.current == nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return f.current, nil
}

// ClientConfig returns the configuration for dialling, or nil for the authorities
// of the system. Each call reads the file again.
func ClientConfig(cfg settings.TLS) (*tls.Config, error) {
	if cfg.AuthorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(cfg.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("certificate: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("certificate: authority: %w", errors.New("no certificate in "+cfg.AuthorityFile))
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// Transport returns a transport that verifies servers as Client says. It
// speaks HTTP/1.1 only, which WebSocket needs.
func Transport(cfg settings.TLS) (*http.Transport, error) {
	secure, err := ClientConfig(cfg)
	if err != nil {
		return nil, err
	}
	t := &http.Transport{TLSClientConfig: secure, Protocols: new(http.Protocols), IdleConnTimeout: idleTimeout}
	t.Protocols.SetHTTP1(true)
	return t, nil
}

// ReadKey returns the shared key in the file, or an empty key for an empty path.
func ReadKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("shared key: %w", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return "", fmt.Errorf("shared key: %s is empty", path)
	}
	return key, nil
}

// Authorized reports whether the request carries the shared key. Without a key
// every request does.
func Authorized(r *http.Request, key string) bool {
	return key == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+key)) == 1
}
