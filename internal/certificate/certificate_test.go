package certificate

import (
	"crypto/x509"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/authority"
)

// Guards against a renewed certificate that is never served, partly written files
// that interrupt the service, and file access on every handshake.
func TestServerConfig(t *testing.T) {
	Convey("files are checked for changes at most once a second, invalid ones are ignored", t, func() {
		dir := t.TempDir()
		cfg, err := authority.WriteCertificate(dir, 1)
		So(err, ShouldBeNil)
		now := time.Now()
		tlsConfig, err := serverConfig(cfg, func() time.Time { return now })
		So(err, ShouldBeNil)
		serial := func() int64 {
			cert, err := tlsConfig.GetCertificate(nil)
			So(err, ShouldBeNil)
			leaf, err := x509.ParseCertificate(cert.Certificate[0])
			So(err, ShouldBeNil)
			return leaf.SerialNumber.Int64()
		}
		So(serial(), ShouldEqual, 1)
		_, err = authority.WriteCertificate(dir, 2)
		So(err, ShouldBeNil)
		now = now.Add(checkInterval - 1)
		So(serial(), ShouldEqual, 1)
		now = now.Add(1)
		So(serial(), ShouldEqual, 2)
		So(os.WriteFile(cfg.KeyFile, []byte("half"), 0o600), ShouldBeNil)
		now = now.Add(checkInterval)
		So(serial(), ShouldEqual, 2)
		_, err = authority.WriteCertificate(dir, 3)
		So(err, ShouldBeNil)
		now = now.Add(checkInterval)
		So(serial(), ShouldEqual, 3)
	})
	Convey("invalid files are reported at the start, and no files mean no TLS", t, func() {
		empty := filepath.Join(t.TempDir(), "empty")
		So(os.WriteFile(empty, []byte("\n"), 0o600), ShouldBeNil)
		_, err := ServerConfig(settings.TLS{CertificateFile: empty, KeyFile: empty})
		So(err, ShouldNotBeNil)
		_, err = Transport(settings.TLS{AuthorityFile: empty})
		So(err, ShouldNotBeNil)
		_, err = Transport(settings.TLS{AuthorityFile: empty + "-missing"})
		So(err, ShouldNotBeNil)
		_, err = ReadKey(empty)
		So(err, ShouldNotBeNil)
		tlsConfig, err := ServerConfig(settings.TLS{})
		So(tlsConfig, ShouldBeNil)
		So(err, ShouldBeNil)
	})
}

// Guards against accepting the key in any form other than a bearer token.
func TestAuthorized(t *testing.T) {
	for header, want := range map[string]bool{"": false, "k": false, "Bearer ": false, "Bearer kk": false, "Bearer k": true} {
		Convey("header "+header, t, func() {
			r := httptest.NewRequest("GET", "/", nil)
			r.Header.Set("Authorization", header)
			So(Authorized(r, "k"), ShouldEqual, want)
			So(Authorized(r, ""), ShouldBeTrue)
		})
	}
}
