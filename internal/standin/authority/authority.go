// Package authority creates self-signed certificates for tests on loopback.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"gypsumtide/internal/settings"
)

// WriteCertificate creates a self-signed certificate for 127.0.0.1 with the serial
// number, which is valid for one hour from now, and writes it and its key to dir. In the
// returned settings the certificate is also the CA certificate that peers are verified
// against.
func WriteCertificate(dir string, serial int64) (settings.TLS, error) {
	cfg := settings.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), AuthorityFile: filepath.Join(dir, "cert")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return cfg, fmt.Errorf("authority: generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return cfg, fmt.Errorf("authority: create certificate: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return cfg, fmt.Errorf("authority: encode key: %w", err)
	}
	if err := os.WriteFile(cfg.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600); err != nil {
		return cfg, fmt.Errorf("authority: %w", err)
	}
	if err := os.WriteFile(cfg.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600); err != nil {
		return cfg, fmt.Errorf("authority: %w", err)
	}
	return cfg, nil
}
