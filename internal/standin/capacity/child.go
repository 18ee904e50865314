package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"gypsumtide"
	"gypsumtide/internal/agent"
	"gypsumtide/internal/entry"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/upstream"
	"gypsumtide/internal/wire"
)

// service is the name of the only service in the measurements.
const service = "echo"

// sample holds the memory use of a child process, and its processor time and counters
// since its start. CPU is in seconds; RSS, Heap and Stack are in bytes. The counters of
// frames and bytes stay 0 in the role agents. Connected counts the sessions opened, and
// Configured the configurations that were applied, over all agents of the child.
type sample struct {
	CPU        float64 `json:"cpu"`
	RSS        float64 `json:"rss"`
	Heap       float64 `json:"heap"`
	Stack      float64 `json:"stack"`
	FramesOut  uint64  `json:"frames-out"`
	FramesIn   uint64  `json:"frames-in"`
	BytesOut   uint64  `json:"bytes-out"`
	BytesIn    uint64  `json:"bytes-in"`
	Connected  int64   `json:"connected"`
	Configured int64   `json:"configured"`
}

// logEvents counts events of a child process by its log messages: sessions opened
// and configurations that were applied.
type logEvents struct{ connected, configured atomic.Int64 }

// logger returns a logger that counts the messages of these events and discards all
// messages.
func (e *logEvents) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		switch {
		case strings.Contains(line, `"msg"="agent connected"`):
			e.connected.Add(1)
		case strings.Contains(line, `"msg"="session established"`):
			e.connected.Add(1)
		case strings.Contains(line, `"msg"="configuration in force"`):
			e.configured.Add(1)
		}
	}, funcr.Options{})
}

// cpuSeconds returns the processor time of this process, or 0 if it is unknown.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// rssBytes returns the resident set size of this process, or 0 if it is unknown.
func rssBytes() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// runChild runs one of these roles until stdin ends:
//
//	entry LOG-URL ADDRESS
//	agents COUNT HEARTBEAT-INTERVAL-MS ENTRY-URL...
//	bare COUNT ENTRY-URL...
//
// It first prints the URL of the entry, or an empty line in the other roles, and then a
// sample for each line of stdin.
func runChild(args []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := &logEvents{}
	var counters *wire.Counters
	var url string
	switch args[0] {
	case "entry":
		e, err := newEntry(args[1], args[2], events)
		if err != nil {
			return err
		}
		counters, url = e.Counters(), "http://"+args[2]
		go exitOnError(func() error { return e.Run(ctx) })
	case "agents":
		n, _ := strconv.Atoi(args[1])
		interval, _ := strconv.Atoi(args[2])
		counters = &wire.Counters{}
		for i := range n {
			if err := startAgent(ctx, i, gypsumtide.Millis(interval), args[3:], events); err != nil {
				return err
			}
		}
	case "bare":
		n, _ := strconv.Atoi(args[1])
		counters = &wire.Counters{}
		for i := range n {
			incarnation := fmt.Sprintf("%s-%d", agentName(i), time.Now().UnixNano())
			for _, url := range args[2:] {
				go keepBareAgent(ctx, i, incarnation, url, counters, events)
			}
		}
	default:
		return fmt.Errorf("unknown role %q", args[0])
	}
	fmt.Println(url)
	in := bufio.NewScanner(os.Stdin)
	out := json.NewEncoder(os.Stdout)
	for in.Scan() {
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		s := sample{
			CPU: cpuSeconds(), RSS: rssBytes(), Heap: float64(mem.HeapAlloc), Stack: float64(mem.StackInuse), FramesOut: counters.FramesSent(), FramesIn: counters.FramesReceived(),
			BytesOut: counters.BytesSent(), BytesIn: counters.BytesReceived(), Connected: events.connected.Load(), Configured: events.configured.Load(),
		}
		if err := out.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

// exitOnError runs fn and exits the process if it returns an error other than a
// cancellation.
func exitOnError(fn func() error) {
	if err := fn(); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "capacity child:", err)
		os.Exit(1)
	}
}

func newEntry(logURL, address string, events *logEvents) (*entry.Entry, error) {
	cfg := settings.DefaultEntry()
	cfg.Listen = address
	// Entries must have different names, because entries with the same name replace
	// each other in the roster.
	cfg.Name = "entry-" + address
	cfg.LogURL = logURL
	cfg.Log = settings.Log{}
	if errs := cfg.Check(); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return entry.New(cfg, gypsumtide.NewSystemClock(), events.logger())
}

// startAgent starts a complete agent, to which it announces an upstream that receives no
// tasks.
func startAgent(ctx context.Context, i int, interval gypsumtide.Millis, entries []string, events *logEvents) error {
	cfg := settings.DefaultAgent()
	cfg.Name, cfg.Zone, cfg.Rack = agentName(i), fmt.Sprint("zone-", i%6), fmt.Sprint("rack-", i/3)
	cfg.Listen = "127.0.0.1:0"
	cfg.Entries = entries
	cfg.HeartbeatInterval = interval
	cfg.Log = settings.Log{}
	a, err := agent.New(cfg, events.logger(), gypsumtide.NewSystemClock())
	if err != nil {
		return err
	}
	_, err = a.Registry().Announce(upstream.Announcement{Name: "u", URL: "http://127.0.0.1:1", Services: []string{service}, TTL: 3_600_000})
	if err != nil {
		return err
	}
	go exitOnError(func() error { return a.Run(ctx) })
	return nil
}

func agentName(i int) string { return fmt.Sprintf("worker-%04d", i) }

// child is a child process. url is empty unless it is an entry.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
	url string
}

// startChild starts this program as a child process in a role and waits for its first
// line of output.
func startChild(args ...string) (*child, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(exe, append([]string{"child"}, args...)...)}
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = bufio.NewReader(out)
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	c.url, err = c.out.ReadString('\n')
	c.url = strings.TrimSpace(c.url)
	return c, err
}

// sample requests a sample from the child.
func (c *child) sample() (s sample, err error) {
	if _, err = c.in.Write([]byte("\n")); err != nil {
		return s, err
	}
	data, err := c.out.ReadBytes('\n')
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}

// waitFor polls the child for up to a minute until cond holds for a sample, which
// it returns. The error of a timeout names what was awaited.
func (c *child) waitFor(awaited string, cond func(s sample) bool) (sample, error) {
	deadline := time.Now().Add(60 * time.Second)
	for time.Now().Before(deadline) {
		s, err := c.sample()
		if err != nil || cond(s) {
			return s, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return sample{}, fmt.Errorf("timed out waiting for %s", awaited)
}

// stop kills the child. A graceful shutdown is not needed, since no result of its work
// is used afterwards.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// freeAddress returns a loopback address that is currently unused.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
