package deployment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.yaml.in/yaml/v3"

	"gypsumtide/internal/standin/faultproxy"
)

// readSettings parses the settings file of a process.
func readSettings(p *Process) map[string]any {
	data, err := os.ReadFile(p.args(1)[1])
	So(err, ShouldBeNil)
	values := map[string]any{}
	So(yaml.Unmarshal(data, values), ShouldBeNil)
	return values
}

// Guards against links that bypass the fault proxies, and against a wrong spread
// of workers over zones and racks.
func TestPlan(t *testing.T) {
	Convey("With 3 entries and 11 workers in 4 zones", t, func() {
		cfg := Config{Dir: t.TempDir(), Entries: 3, Workers: 11, Zones: 4, Proxies: true, ZoneDelay: time.Millisecond, AgentSettings: map[string]any{"drain-timeout-ms": 5}}
		cfg.setDefaults()
		d := &Deployment{cfg: cfg, links: map[Link]*faultproxy.Proxy{}}
		So(d.plan(), ShouldBeNil)
		Reset(func() { So(d.Close(), ShouldBeNil) })

		// A link without a proxy would keep working while the fault schedule isolates
		// the process.
		Convey("the log and the entries are reached through proxies, one for each link", func() {
			proxies := map[string]bool{}
			for _, p := range d.Links() {
				proxies[p.URL()] = true
			}
			// Per entry: log, callers, peers, 2 other entries, 11 agents.
			So(len(proxies), ShouldEqual, 3*(3+2+11))
			for _, e := range d.Entries() {
				values := readSettings(e)
				So(proxies[values["url"].(string)] && proxies[values["log-url"].(string)] && proxies[e.CallerURL()], ShouldBeTrue)
				So(len(values["peers"].([]any)), ShouldEqual, 2)
			}
			for _, a := range d.Agents() {
				values := readSettings(a)
				So(values["drain-timeout-ms"], ShouldEqual, 5)
				for _, u := range values["entries"].([]any) {
					So(proxies[u.(string)], ShouldBeTrue)
				}
			}
		})
		Convey("workers spread over zones in racks of at most 3", func() {
			racks := map[string]int{}
			zones := map[string]int{}
			for _, a := range d.Agents() {
				racks[a.rack]++
				zones[a.Zone()]++
			}
			So(zones, ShouldResemble, map[string]int{"zone-1": 3, "zone-2": 3, "zone-3": 3, "zone-4": 2})
			for _, n := range racks {
				So(n, ShouldBeLessThanOrEqualTo, 3)
			}
			So(d.delay(d.Agents()[0], d.Entries()[0]), ShouldEqual, 0)
			So(d.delay(d.Agents()[0], d.Entries()[1]), ShouldEqual, time.Millisecond)
		})
	})
	Convey("Start fails if a program is missing", t, func() {
		_, err := Start(context.Background(), Config{Bin: t.TempDir()})
		So(errors.Is(err, ErrNoProgram), ShouldBeTrue)
	})
}

// awaitStopped waits until the kernel reports the process as stopped, and returns false
// if it has not within about 5 s. If SIGTERM follows SIGSTOP before the process has run,
// the process handles SIGTERM first.
func awaitStopped(pid int) bool {
	for range 1000 {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err == nil && strings.Contains(string(stat), ") T ") {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// Guards against processes that outlive a test, a second start of a process that is
// still running, and signals after its end, which could hit another process.
func TestProcess(t *testing.T) {
	sleep, err := exec.LookPath("sleep")
	if err != nil {
		t.Skip("no sleep command")
	}
	Convey("With a running process", t, func() {
		d := &Deployment{cfg: Config{Bin: filepath.Dir(sleep), Dir: t.TempDir()}}
		p := d.newProcess("p", "sleep", "127.0.0.1:1", "zone-1")
		p.args = func(int) []string { return []string{"60"} }
		d.upstreams = []*Process{p}
		So(p.start(), ShouldBeNil)
		Reset(func() { So(d.Close(), ShouldBeNil) })
		pid := p.PID()
		So(pid, ShouldBeGreaterThan, 0)
		So(p.start(), ShouldNotBeNil)

		Convey("kill ends the process, and restart starts it again", func() {
			So(p.Kill(), ShouldBeNil)
			So(p.PID(), ShouldEqual, 0)
			So(errors.Is(p.Pause(), ErrNotRunning), ShouldBeTrue)
			So(p.Restart(), ShouldBeNil)
			So(p.PID(), ShouldNotEqual, pid)
			So(p.Runs(), ShouldEqual, 2)
		})
		Convey("terminate waits until the process has ended", func() {
			So(p.Terminate(context.Background()), ShouldBeNil)
			So(p.PID(), ShouldEqual, 0)
		})
		Convey("terminate does not end a paused process, but Close does", func() {
			So(p.Pause(), ShouldBeNil)
			So(awaitStopped(pid), ShouldBeTrue)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			So(errors.Is(p.Terminate(ctx), context.DeadlineExceeded), ShouldBeTrue)
			So(d.Close(), ShouldBeNil)
			So(errors.Is(syscall.Kill(pid, 0), syscall.ESRCH), ShouldBeTrue)
		})
	})
}
