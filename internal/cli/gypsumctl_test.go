package cli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/object"
	"gypsumtide/internal/operator"
	"gypsumtide/internal/standin/platformlog"
)

// stubBackend is an operator.Backend with one agent, which it refuses to retire.
type stubBackend struct{}

func (stubBackend) Nodes(context.Context) ([]operator.Node, error) {
	return []operator.Node{{Name: "a1", Kind: "agent", Zone: "z1", State: "live", Slots: 8}}, nil
}
func (stubBackend) Drain(context.Context, string) error  { return nil }
func (stubBackend) Retire(context.Context, string) error { return operator.ErrRefused }

// startOperatorServer serves the operators' API on top of the log stand-in and
// returns its base URL.
func startOperatorServer(t *testing.T) string {
	log, err := platformlog.StartLocal(platformlog.DefaultSettings())
	So(err, ShouldBeNil)
	state := object.NewConfigurationState()
	clock := gypsumtide.NewSystemClock()
	follower := journal.NewFollower(journal.NewClient(log.URL(), &http.Client{}, 0), "configuration", state, clock, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := group.Go(ctx, follower.Run)
	So(follower.AwaitReady(ctx), ShouldBeNil)
	mux := http.NewServeMux()
	operator.NewHandler(object.NewPublisher(follower, state, clock), stubBackend{}, logr.Discard()).RegisterHandlers(mux, func(next http.HandlerFunc) http.HandlerFunc { return next })
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.Close(); cancel(); <-done; _ = log.Stop() })
	return server.URL
}

func gypsumctl(args ...string) (string, error) {
	cmd := Gypsumctl()
	var out bytes.Buffer
	cmd.Writer, cmd.ErrWriter = &out, &out
	err := cmd.Run(context.Background(), append([]string{"gypsumctl"}, args...))
	return out.String(), err
}

// TestGypsumctl guards against commands of gypsumctl that fail or print a wrong
// result. It runs them end to end, from object files to the log.
func TestGypsumctl(t *testing.T) {
	Convey("Given an entry and files", t, func() {
		url := startOperatorServer(t)
		dir := t.TempDir()
		file := func(name, text string) string {
			path := filepath.Join(dir, name)
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			return path
		}
		pool := file("pool.yaml", "kind: pool\nname: checks")
		service := file("service.yaml", "kind: service\nname: stock\npool: checks\n")
		bad := file("bad.yaml", "kind: pool\nname: p\nqueu: fair\n---\nkind: x\n")

		run := func(args ...string) string {
			out, err := gypsumctl(append([]string{"--entry", url}, args...)...)
			So(err, ShouldBeNil)
			return out
		}
		So(run("get"), ShouldContainSubstring, "# revision 0")
		So(run("diff", "-f", pool, "-f", service), ShouldEqual, "added service stock\nadded pool checks\n")
		So(run("apply", "-f", pool, "-f", service, "--author", "ann"), ShouldEqual, "added service stock\nadded pool checks\nrevision 1 published\n")
		So(run("apply", "-f", pool, "-f", service), ShouldEqual, "revision 1 has the same text, nothing published\n")
		So(run("diff", "-f", pool), ShouldEqual, "removed service stock\n")
		So(run("get"), ShouldContainSubstring, "# revision 1 by ann at ")
		So(run("explain", "--service", "stock"), ShouldContainSubstring, "revision 1\npool checks: placement believed-free")
		So(run("nodes"), ShouldContainSubstring, "a1")
		for command, want := range map[string]string{
			"get": `"revision": 1`, "nodes": `"name": "a1"`, "history": `"accepted": true`, "explain --service s": `"pool": {`,
		} {
			So(run(append([]string{"--json"}, strings.Fields(command)...)...), ShouldContainSubstring, want)
		}
		So(run("drain", "a1"), ShouldEqual, "a1 drains\n")
		So(run("apply", "-f", pool, "--base", "1"), ShouldEqual, "revision 2 published\n")

		for _, c := range []struct {
			name, want string
			args       []string
		}{
			{"old base", "base revision is 0, revision 2 is in force", []string{"apply", "-f", pool, "--base", "0"}},
			{"errors of all files", "bad.yaml:5: unknown kind", []string{"apply", "-f", pool, "-f", bad}},
			{"missing file", "no such file", []string{"apply", "-f", filepath.Join(dir, "none.yaml")}},
			{"refused", "refused", []string{"retire", "a1"}},
			{"no name", "give the name of one node", []string{"drain"}},
			{"no entry", "connection refused", []string{"--entry", "http://127.0.0.1:1", "nodes"}},
		} {
			_, err := gypsumctl(append([]string{"--entry", url}, c.args...)...)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
		So(strings.Count(run("history"), "\n"), ShouldEqual, 3)
	})
}

// TestEvacuate guards against a wrapper that loses objects, an evacuation that ends unnoticed
// with the next files, and a list that hides which nodes have not taken note.
func TestEvacuate(t *testing.T) {
	Convey("Given an entry with objects, and files without an evacuation", t, func() {
		url := startOperatorServer(t)
		pool := filepath.Join(t.TempDir(), "pool.yaml")
		So(os.WriteFile(pool, []byte("# checks\nkind: pool\nname: checks\n"), 0o600), ShouldBeNil)
		run := func(args ...string) string {
			out, err := gypsumctl(append([]string{"--entry", url}, args...)...)
			So(err, ShouldBeNil)
			return out
		}
		fail := func(want string, args ...string) {
			_, err := gypsumctl(append([]string{"--entry", url}, args...)...)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
		run("apply", "-f", pool)
		So(run("evacuations"), ShouldBeEmpty)
		So(run("evacuate", "--author", "ann", "z1"), ShouldEqual, "availability zone z1 is evacuated, revision 2 published\n")
		So(run("get"), ShouldContainSubstring, " by ann ")
		So(run("diff", "-f", pool), ShouldEqual, "removed evacuation z1\n")
		for _, list := range []string{"nodes", "evacuations"} {
			// The agent a1 reports revision 0.
			out := run(list)
			So(out, ShouldContainSubstring, "availability zone z1 is evacuated since revision 2 at 20")
			So(out, ShouldContainSubstring, ", 0 of 1 nodes have taken note, not a1\n")
		}
		So(run("--json", "evacuations"), ShouldContainSubstring, `"availability-zone": "z1"`)
		So(run("explain", "--service", "s"), ShouldContainSubstring, "availability zone z1 is not used: evacuation z1")
		fail("already evacuated", "evacuate", "z1")
		fail("not evacuated", "evacuate", "--end", "z2")
		fail("give the name of one availability zone", "evacuate")
		fail("nothing published: the files would end or change evacuation z1", "apply", "-f", pool)
		So(run("evacuate", "--end", "z1"), ShouldEqual, "availability zone z1 is no longer evacuated, revision 3 published\n")
		So(run("get"), ShouldEndWith, "\n# checks\nkind: pool\nname: checks\n")
		run("evacuate", "z1")
		So(run("apply", "-f", pool, "--end-evacuations"), ShouldContainSubstring, "revision 5 published")
		So(run("evacuations"), ShouldBeEmpty)
	})
}

// TestStandinLog guards against a command line that does not start the stand-in,
// or does not stop it when the context ends.
func TestStandinLog(t *testing.T) {
	Convey("The stand-in runs until its context ends", t, func() {
		path := filepath.Join(t.TempDir(), "s.yaml")
		So(os.WriteFile(path, []byte("listen: 127.0.0.1:0\nappends-per-second: 5\n"), 0o600), ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, func(ctx context.Context) error {
			return StandinLog().Run(ctx, []string{"standin-log", "--settings", path})
		})
		cancel()
		err := <-done
		So(err == nil || errors.Is(err, context.Canceled), ShouldBeTrue)
		So(StandinLog().Run(context.Background(), []string{"standin-log", "--check", "-s", path}), ShouldBeNil)
	})
}
