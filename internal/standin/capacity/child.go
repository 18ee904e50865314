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

// service is the name of the only service of the measurements.
const service = "echo"

// sample is the use of a child process so far.
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

// events counts log lines of the child.
type events struct{ connected, configured atomic.Int64 }

func (e *events) logger() logr.Logger {
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

func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

func rss() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// runChild runs a role and answers each line of stdin with a sample.
func runChild(args []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ev := &events{}
	var counters *wire.Counters
	var url string
	switch args[0] {
	case "entry":
		e, err := newEntry(args[1], args[2], ev)
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
			if err := startAgent(ctx, i, gypsumtide.Millis(interval), args[3:], ev); err != nil {
				return err
			}
		}
	case "bare":
		n, _ := strconv.Atoi(args[1])
		counters = &wire.Counters{}
		for i := range n {
			incarnation := fmt.Sprintf("%s-%d", agentName(i), time.Now().UnixNano())
			for _, url := range args[2:] {
				go keepBareAgent(ctx, i, incarnation, url, counters, ev)
			}
		}
	default:
		return fmt.Errorf("unknown role %q", args[0])
	}
	fmt.Println(url)
	in := bufio.NewScanner(os.Stdin)
	out := json.NewEncoder(os.Stdout)
	for in.Scan() {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		s := sample{
			CPU: cpuSeconds(), RSS: rss(), Heap: float64(m.HeapAlloc), Stack: float64(m.StackInuse), FramesOut: counters.FramesSent(), FramesIn: counters.FramesReceived(),
			BytesOut: counters.BytesSent(), BytesIn: counters.BytesReceived(), Connected: ev.connected.Load(), Configured: ev.configured.Load(),
		}
		if err := out.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

func exitOnError(fn func() error) {
	if err := fn(); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "capacity child:", err)
		os.Exit(1)
	}
}

func newEntry(logURL, address string, ev *events) (*entry.Entry, error) {
	cfg := settings.DefaultEntry()
	cfg.Listen = address
	// Two entries of one name would replace each other in the roster.
	cfg.Name = "entry-" + address
	cfg.LogURL = logURL
	cfg.Log = settings.Log{}
	if errs := cfg.Check(); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return entry.New(cfg, gypsumtide.NewSystemClock(), ev.logger())
}

// startAgent starts a whole agent with an announced upstream that gets no task.
func startAgent(ctx context.Context, i int, interval gypsumtide.Millis, entries []string, ev *events) error {
	cfg := settings.DefaultAgent()
	cfg.Name, cfg.Zone, cfg.Rack = agentName(i), fmt.Sprint("zone-", i%6), fmt.Sprint("rack-", i/3)
	cfg.Listen = "127.0.0.1:0"
	cfg.Entries = entries
	cfg.HeartbeatInterval = interval
	cfg.Log = settings.Log{}
	a, err := agent.New(cfg, ev.logger(), gypsumtide.NewSystemClock())
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

// child is a running child process.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
	url string
}

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

// await polls the child until cond holds.
func (c *child) await(what string, cond func(s sample) bool) (sample, error) {
	deadline := time.Now().Add(60 * time.Second)
	for time.Now().Before(deadline) {
		s, err := c.sample()
		if err != nil || cond(s) {
			return s, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return sample{}, fmt.Errorf("timed out waiting for %s", what)
}

// stop ends the child, whose work is not worth a drain.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// freeAddress returns a loopback address that is free at the moment.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
