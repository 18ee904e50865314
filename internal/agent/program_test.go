package agent

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/wire"
)

// TestPrograms guards against programs that lose results at SIGTERM or start tasks
// twice, because of errors in their command line, settings or signal handling, which
// the tests of the packages do not cover.
func TestPrograms(t *testing.T) {
	Convey("agent and stand-in upstream finish the running task when they receive SIGTERM", t, func() {
		dir := t.TempDir()
		build(dir)
		e := newFakeEntry(t, "entry")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listen := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		config := filepath.Join(dir, "agent.yaml")
		So(os.WriteFile(config, fmt.Appendf(nil, "name: a1\nlisten: %s\nentries: [%s]\n", listen, e.server.URL), 0o600), ShouldBeNil)
		history := filepath.Join(dir, "history")
		var logs strings.Builder
		agentCmd := startProgram(t, &logs, dir+"/gypsumtide-agent", "--settings", config)
		upstreamCmd := startProgram(t, nil, dir+"/standin-upstream", "--agent", "http://"+listen, "--history", history)
		e.awaitAnnouncement("upstream", offersSlots(8))
		id := newID(t)
		short, long := wire.TaskRef{Submission: id, Task: 0, Epoch: 1}, wire.TaskRef{Submission: id, Task: 1, Epoch: 1}
		e.dispatch(dispatch(short, `{"run-ms":1}`), dispatch(long, `{"run-ms":700}`))
		So(e.awaitResult(short, 1).State, ShouldEqual, wire.TaskDone)
		So(upstreamCmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(agentCmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(agentCmd.Wait(), ShouldBeNil)
		So(upstreamCmd.Wait(), ShouldBeNil)
		So(e.awaitResult(long, 1).State, ShouldEqual, wire.TaskDone)
		data, err := os.ReadFile(history)
		So(err, ShouldBeNil)
		So(strings.Count(string(data), `"event":"start"`), ShouldEqual, 2)
		So(strings.Count(string(data), `"event":"end"`), ShouldEqual, 2)
		So(logs.String(), ShouldContainSubstring, `"msg":"task started"`)
	})
}

// TestIdleCost guards against an idle agent that uses more than docs/design.md allows for
// the control of a node: 2% of a core, 64 MB and 10 KB/s.
func TestIdleCost(t *testing.T) {
	Convey("an idle agent with two entries stays within the limits", t, func() {
		dir := t.TempDir()
		build(dir)
		one, two := newFakeEntry(t, "one"), newFakeEntry(t, "two")
		config := filepath.Join(dir, "agent.yaml")
		So(os.WriteFile(config, fmt.Appendf(nil, "listen: 127.0.0.1:0\nentries: [%s, %s]\n", one.server.URL, two.server.URL), 0o600), ShouldBeNil)
		cmd := startProgram(t, nil, dir+"/gypsumtide-agent", "--settings", config)
		one.awaitSession(1)
		two.awaitSession(1)
		ticks := func() (n int64) {
			data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
			So(err, ShouldBeNil)
			// Fields 14 and 15 are the user and system time in hundredths of a second.
			fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')'):]))
			for _, f := range fields[12:14] {
				v, err := strconv.ParseInt(f, 10, 64)
				So(err, ShouldBeNil)
				n += v
			}
			return n
		}
		transferred := func() uint64 { return one.counters.BytesReceived() + one.counters.BytesSent() }
		cpu, bytes := ticks(), transferred()
		time.Sleep(4 * time.Second)
		cpu, bytes = ticks()-cpu, transferred()-bytes
		// The peak in the rusage of the process would include the memory of the test
		// process before the exec.
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
		So(err, ShouldBeNil)
		var memory int64
		_, peak, _ := strings.Cut(string(status), "VmHWM:")
		_, err = fmt.Sscan(peak, &memory)
		So(err, ShouldBeNil)
		So(cmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(cmd.Wait(), ShouldBeNil)
		t.Logf("%.2f%% of a core, %d KiB, %d bytes/s with one entry", float64(cpu)/4, memory, bytes/4)
		// cpu is in hundredths of a second: 2% of 4 s are 8.
		So(cpu, ShouldBeLessThanOrEqualTo, 8)
		So(memory, ShouldBeLessThanOrEqualTo, 64<<10)
		So(2*bytes/4, ShouldBeLessThanOrEqualTo, 10_000)
	})
}

// build compiles the agent and the stand-in upstream into dir.
func build(dir string) {
	out, err := exec.Command("go", "build", "-o", dir+"/", "gypsumtide/cmd/gypsumtide-agent", "gypsumtide/cmd/standin-upstream").CombinedOutput()
	So(string(out), ShouldEqual, "")
	So(err, ShouldBeNil)
}

// startProgram starts a program and kills it at the end of the test.
func startProgram(t *testing.T, logs *strings.Builder, path string, args ...string) *exec.Cmd {
	cmd := exec.Command(path, args...)
	if logs != nil {
		cmd.Stderr = logs
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd
}
