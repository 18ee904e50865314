package agent

import (
	"crypto/tls"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/certificate"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/authority"
	"gypsumtide/internal/standin/worker"
	"gypsumtide/internal/wire"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 with the given serial
// number.
func writeCertificate(dir string, serial int64) settings.TLS {
	cfg, err := authority.WriteCertificate(dir, serial)
	So(err, ShouldBeNil)
	return cfg
}

// TestTLS guards against plaintext connections and unverified peers although TLS is
// configured, and against a certificate that stays in use after its files were
// replaced.
func TestTLS(t *testing.T) {
	Convey("sessions and announcements use TLS, and a renewed certificate is loaded", t, func() {
		dir := t.TempDir()
		files := writeCertificate(dir, 1)
		tlsConfig, err := certificate.ServerConfig(files)
		So(err, ShouldBeNil)
		e := newFakeEntryTLS(t, "entry", tlsConfig)
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.TLS = files }, e)
		trust, err := certificate.ClientConfig(files)
		So(err, ShouldBeNil)
		startWorker(t, a, func(cfg *worker.Config) {
			cfg.Agent = "https://" + a.Address()
			cfg.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: trust}}
		})
		e.awaitAnnouncement("upstream", offersSlots(8))
		ref := wire.TaskRef{Submission: newID(t), Epoch: 1}
		e.dispatch(dispatch(ref, `{}`))
		So(e.awaitResult(ref, 1).State, ShouldEqual, wire.TaskDone)
		serial := func() int64 {
			conn, err := tls.Dial("tcp", a.Address(), &tls.Config{InsecureSkipVerify: true})
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		}
		// A handshake checks the files if the last check is at least a second ago.
		interval := 1100 * time.Millisecond
		So(serial(), ShouldEqual, 1)
		So(os.WriteFile(files.KeyFile, []byte("half"), 0o600), ShouldBeNil)
		time.Sleep(interval)
		So(serial(), ShouldEqual, 1)
		writeCertificate(dir, 2)
		time.Sleep(interval)
		So(serial(), ShouldEqual, 2)
	})
	Convey("there is no session with an entry whose certificate is from another authority", t, func() {
		tlsConfig, err := certificate.ServerConfig(writeCertificate(t.TempDir(), 1))
		So(err, ShouldBeNil)
		e := newFakeEntryTLS(t, "entry", tlsConfig)
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.TLS = writeCertificate(t.TempDir(), 2) }, e)
		time.Sleep(200 * time.Millisecond)
		a.mu.Lock()
		n := len(a.sessions)
		a.mu.Unlock()
		So(n, ShouldEqual, 0)
	})
}
