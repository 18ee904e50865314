package settings

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEntrySecurity guards against an entry that other hosts can reach without TLS or
// without a shared key, and against a default URL with the wrong scheme.
func TestEntrySecurity(t *testing.T) {
	files := TLS{CertificateFile: "c", KeyFile: "k"}
	for _, c := range []struct {
		name          string
		listen        string
		tls           TLS
		key           string
		allowInsecure bool
		want          string
	}{
		{name: "loopback", listen: "127.0.0.1:1"},
		{name: "no TLS and no key", listen: "192.0.2.1:1", want: "is not loopback"},
		{name: "no TLS", listen: "192.0.2.1:1", key: "s", want: "is not loopback"},
		{name: "no key", listen: "192.0.2.1:1", tls: files, want: "is not loopback"},
		{name: "all addresses, no TLS and no key", listen: "0.0.0.0:1", want: "is not loopback"},
		{name: "TLS and a key", listen: "192.0.2.1:1", tls: files, key: "s"},
		{name: "no TLS and no key, but allowed", listen: "192.0.2.1:1", allowInsecure: true},
		{name: "certificate without a key file", listen: "127.0.0.1:1", tls: TLS{CertificateFile: "c"}, want: "go together"},
		{name: "host name", listen: "localhost:1", want: "not an IP address"},
	} {
		Convey(c.name, t, func() {
			cfg := DefaultEntry()
			cfg.Listen, cfg.TLS, cfg.SharedKeyFile, cfg.AllowInsecure = c.listen, c.tls, c.key, c.allowInsecure
			err := errors.Join(cfg.Check()...)
			if c.want == "" {
				So(err, ShouldBeNil)
				So(cfg.URL[:5] == "https", ShouldEqual, c.tls.CertificateFile != "")
				return
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		})
	}
}

// Guards against a limit of the machine with which no client could be served.
func TestCheckLimits(t *testing.T) {
	Convey("Limits are 0 or large enough", t, func() {
		for _, c := range []struct {
			memoryMb, maxFds int
			valid            bool
		}{{0, 0, true}, {184, 4100, true}, {1, 0, false}, {0, 10, false}, {-184, 0, false}, {0, -1, false}} {
			cfg := DefaultEntry()
			cfg.MemoryMb, cfg.MaxFds = c.memoryMb, c.maxFds
			So(len(cfg.Check()) == 0, ShouldEqual, c.valid)
		}
	})
}
