package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/certificate"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/authority"
	"gypsumtide/internal/standin/platformlog"
	"gypsumtide/internal/wire"
)

// startEntry runs an entry on a free port until the test ends.
func startEntry(t *testing.T, name, logURL string, change func(cfg *settings.Entry)) *Entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	cfg := settings.DefaultEntry()
	cfg.Name, cfg.Listen, cfg.LogURL, cfg.DrainTimeout = name, listener.Addr().String(), logURL, 1_000
	if change != nil {
		change(cfg)
	}
	So(listener.Close(), ShouldBeNil)
	So(cfg.Check(), ShouldBeEmpty)
	e, err := New(cfg, gypsumtide.NewSystemClock(), logr.Discard())
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
	return e
}

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against accepting changes by operators and sessions of agents and entries
// without the shared key, against requiring the key from callers, and against plain
// text where TLS is configured, peers whose certificate is not verified, and a renewed
// certificate that is not served.
func TestTLS(t *testing.T) {
	Convey("two entries with TLS and a shared key", t, func() {
		log, err := platformlog.StartLocal(platformlog.DefaultSettings())
		So(err, ShouldBeNil)
		t.Cleanup(func() { _ = log.Stop() })
		dir := t.TempDir()
		files, err := authority.WriteCertificate(dir, 1)
		So(err, ShouldBeNil)
		keyFile := filepath.Join(dir, "shared")
		So(os.WriteFile(keyFile, []byte("secret\n"), 0o600), ShouldBeNil)
		secured := func(cfg *settings.Entry) { cfg.TLS, cfg.SharedKeyFile = files, keyFile }
		a := startEntry(t, "entry-a", log.URL(), secured)
		b := startEntry(t, "entry-b", log.URL(), secured)
		So(a.cfg.URL, ShouldStartWith, "https://")
		eventually(t, "peer sessions", func() bool { return a.peers.find(b.incarnation) != nil && b.peers.find(a.incarnation) != nil })
		eventually(t, "readiness", a.ready)
		transport, err := certificate.Transport(files)
		So(err, ShouldBeNil)
		client := &http.Client{Transport: transport}

		Convey("refuse changes and sessions without the key, but serve callers", func() {
			status := func(method, path, key, body string) int {
				req, err := http.NewRequest(method, a.cfg.URL+path, strings.NewReader(body))
				So(err, ShouldBeNil)
				req.Header.Set("Authorization", "Bearer "+key)
				resp, err := client.Do(req)
				So(err, ShouldBeNil)
				So(resp.Body.Close(), ShouldBeNil)
				return resp.StatusCode
			}
			pool := "kind: pool\nname: p\n"
			for _, c := range []struct {
				method, path, body string
				withKey            int
			}{
				{"PUT", "/v1/configuration?base=0&author=ann", pool, http.StatusOK},
				{"POST", "/v1/nodes/nobody/drain", "", http.StatusNotFound},
				{"POST", "/v1/agents/nobody/retire", "", http.StatusNotFound},
				{"GET", "/v1/session", "", http.StatusUpgradeRequired},
			} {
				So(status(c.method, c.path, "", c.body), ShouldEqual, http.StatusUnauthorized)
				So(status(c.method, c.path, "secret2", c.body), ShouldEqual, http.StatusUnauthorized)
				So(status(c.method, c.path, "secret", c.body), ShouldEqual, c.withKey)
			}
			So(status("POST", "/v1/jobs", "", `{"service":"s","tasks":[{}]}`), ShouldEqual, http.StatusUnprocessableEntity)
			So(status("GET", "/v1/configuration", "", ""), ShouldEqual, http.StatusOK)
			resp, err := http.Get("http://" + a.cfg.Listen + "/healthz")
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldNotEqual, http.StatusOK)
			So(resp.Body.Close(), ShouldBeNil)
		})
		Convey("accept the session of an agent only with the key", func() {
			announce := func(key string) error {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				s, err := wire.Dial(ctx, client, a.cfg.URL+"/v1/session", key, a.clock, wire.Timing{HeartbeatInterval: 100, ReceiveTimeout: 1000}, &wire.Counters{})
				if err != nil {
					return err
				}
				t.Cleanup(s.Close)
				So(s.WriteFrame(ctx, &wire.Frame{Hello: &wire.Hello{Kind: "agent", Name: "agent" + key, Incarnation: "i" + key, Zone: "z"}}), ShouldBeNil)
				_, err = s.ReadFrame(ctx)
				So(err, ShouldBeNil)
				return s.WriteFrame(ctx, &wire.Frame{Announcement: &wire.Announcement{Upstreams: []wire.Upstream{{Name: "u", Services: []string{"s"}, Slots: 1}}}})
			}
			err := announce("")
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "status 401")
			So(announce("wrong"), ShouldNotBeNil)
			So(announce("secret"), ShouldBeNil)
			eventually(t, "the agent in the status", func() bool { return len(a.status().Agents) > 0 })
			So(a.status().Agents, ShouldHaveLength, 1)
			So(a.status().Agents[0].Name, ShouldEqual, "agentsecret")
		})
		Convey("refuse a session to an entry with a certificate of another authority", func() {
			other, err := authority.WriteCertificate(t.TempDir(), 9)
			So(err, ShouldBeNil)
			c := startEntry(t, "entry-c", log.URL(), func(cfg *settings.Entry) { cfg.TLS, cfg.SharedKeyFile = other, keyFile })
			eventually(t, "the entry in the log", func() bool { return len(a.shardState.Entries()) == 3 })
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			err = a.peers.connect(ctx, c.cfg.URL)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "unknown authority")
			So(a.peers.find(c.incarnation), ShouldBeNil)
		})
		Convey("serve a renewed certificate without a restart", func() {
			serial := func() int64 {
				conn, err := tls.Dial("tcp", a.cfg.Listen, &tls.Config{InsecureSkipVerify: true})
				So(err, ShouldBeNil)
				defer func() { _ = conn.Close() }()
				return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
			}
			So(serial(), ShouldEqual, 1)
			_, err := authority.WriteCertificate(dir, 2)
			So(err, ShouldBeNil)
			eventually(t, "the new certificate", func() bool { return serial() == 2 })
		})
	})
}
