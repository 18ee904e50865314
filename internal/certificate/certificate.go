// Package certificate loads the TLS files and the shared key of the processes of
// the system, and checks whether requests carry the key.
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

// idleTimeout is the time after which idle client connections are closed.
const idleTimeout = 90 * time.Second

// checkInterval is the minimum time between two checks for changed files. The
// checks are part of TLS handshakes.
const checkInterval = time.Second

// certificateLoader serves the certificate and reloads its files when they change.
type certificateLoader struct {
	cfg settings.TLS
	now func() time.Time

	mu        sync.Mutex
	current   *tls.Certificate
	modTimes  [2]time.Time
	lastCheck time.Time
}

// ServerConfig returns the configuration of a TLS listener, or nil if TLS is off.
// It loads the files at once, so that invalid files fail the start of the process.
func ServerConfig(cfg settings.TLS) (*tls.Config, error) {
	return serverConfig(cfg, time.Now)
}

// serverConfig is ServerConfig with a replaceable clock, for tests.
func serverConfig(cfg settings.TLS, now func() time.Time) (*tls.Config, error) {
	if cfg.CertificateFile == "" {
		return nil, nil
	}
	l := &certificateLoader{cfg: cfg, now: now}
	if _, err := l.get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: l.get}, nil
}

// get returns the current certificate for tls.Config.GetCertificate. If changed
// files are invalid, it keeps the last valid certificate, since the files may be
// partly written.
func (l *certificateLoader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.current != nil && now.Sub(l.lastCheck) < checkInterval {
		return l.current, nil
	}
	l.lastCheck = now
	var modTimes [2]time.Time
	for i, path := range []string{l.cfg.CertificateFile, l.cfg.KeyFile} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	if l.current != nil && modTimes == l.modTimes {
		return l.current, nil
	}
	cert, err := tls.LoadX509KeyPair(l.cfg.CertificateFile, l.cfg.KeyFile)
	if err == nil {
		l.current, l.modTimes = &cert, modTimes
	}
	if l.current == nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return l.current, nil
}

// ClientConfig returns the configuration of a TLS client that verifies servers
// against the authority file, which each call reads again. It returns nil if no
// file is set: the certificate authorities of the operating system then apply.
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

// Transport returns an HTTP transport with the TLS configuration of ClientConfig.
// It uses HTTP/1.1 only, which WebSocket requires.
func Transport(cfg settings.TLS) (*http.Transport, error) {
	tlsConfig, err := ClientConfig(cfg)
	if err != nil {
		return nil, err
	}
	t := &http.Transport{TLSClientConfig: tlsConfig, Protocols: new(http.Protocols), IdleConnTimeout: idleTimeout}
	t.Protocols.SetHTTP1(true)
	return t, nil
}

// ReadKey reads the shared key from the file, without surrounding white space. An empty
// path gives an empty key; an empty file is an error.
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

// Authorized reports whether the request carries the shared key as a bearer
// token. If the key is empty, every request is authorized.
func Authorized(r *http.Request, key string) bool {
	return key == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+key)) == 1
}
