package agent

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/worker"
	"gypsumtide/internal/wire"
)

// writeCertificate writes a self-signed certificate for loopback with the serial number.
func writeCertificate(dir string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	So(err, ShouldBeNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	So(err, ShouldBeNil)
	cfg := settings.TLS{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "cert")}
	So(os.WriteFile(cfg.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), ShouldBeNil)
	So(os.WriteFile(cfg.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), ShouldBeNil)
	return cfg
}

// Guards against plain text or unverified peers where TLS is configured, and
// against a certificate that stays in use after its files were replaced.
func TestTLS(t *testing.T) {
	Convey("sessions, announcements and a renewed certificate", t, func() {
		dir := t.TempDir()
		files := writeCertificate(dir, 1)
		secure, err := serverTLS(files)
		So(err, ShouldBeNil)
		e := newFakeEntryTLS(t, "entry", secure)
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.TLS = files }, e)
		trust, err := clientTLS(files)
		So(err, ShouldBeNil)
		startWorker(t, a, func(cfg *worker.Config) {
			cfg.Agent = "https://" + a.Address()
			cfg.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: trust}}
		})
		e.announced("upstream", serving(8))
		ref := wire.TaskRef{Submission: newID(t), Epoch: 1}
		e.dispatch(dispatch(ref, `{}`))
		So(e.result(ref, 1).State, ShouldEqual, wire.TaskDone)
		serial := func() int64 {
			conn, err := tls.Dial("tcp", a.Address(), &tls.Config{InsecureSkipVerify: true})
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		}
		So(serial(), ShouldEqual, 1)
		So(os.WriteFile(files.Key, []byte("half"), 0o600), ShouldBeNil)
		So(serial(), ShouldEqual, 1)
		writeCertificate(dir, 2)
		So(serial(), ShouldEqual, 2)
	})
	Convey("an entry with a certificate of another authority gets no session", t, func() {
		secure, err := serverTLS(writeCertificate(t.TempDir(), 1))
		So(err, ShouldBeNil)
		e := newFakeEntryTLS(t, "entry", secure)
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.TLS = writeCertificate(t.TempDir(), 2) }, e)
		time.Sleep(200 * time.Millisecond)
		a.mu.Lock()
		n := len(a.links)
		a.mu.Unlock()
		So(n, ShouldEqual, 0)
	})
}
