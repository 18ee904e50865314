package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"gypsumtide/internal/operator"
	"gypsumtide/internal/standin/platformlog"
)

const (
	// settleTime is the wait before a measurement, during which agents join, shards
	// are claimed and the first garbage collections happen.
	settleTime = 4 * time.Second
	// measureWindow is the time over which resource usage is measured.
	measureWindow = 5 * time.Second
	// frameOverhead is the number of bytes that a frame adds on the network: a
	// WebSocket header of 6 bytes with a mask or 2 without (4 on average), TCP 32,
	// IP 20, Ethernet 18, and a TCP acknowledgement without data of 70.
	frameOverhead = 144
	// repetitions is how many times each size is measured by the measurements with child
	// processes.
	repetitions = 2
	// defaultInterval is the default heartbeat interval of agents in milliseconds.
	defaultInterval = 300
)

// sessionSizes are the numbers of agents, or of nodes, that are measured.
var sessionSizes = []int{100, 300, 1000, 3000}

// countingProxy forwards TCP connections to the log and counts the bytes in both
// directions.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Uint64
}

func newCountingProxy(target string) (*countingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &countingProxy{listener: l, target: strings.TrimPrefix(target, "http://")}
	go p.accept()
	return p, nil
}

func (p *countingProxy) url() string { return "http://" + p.listener.Addr().String() }

func (p *countingProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.copy(out, in)
		go p.copy(in, out)
	}
}

func (p *countingProxy) copy(w, r net.Conn) {
	_, _ = io.Copy(io.MultiWriter(w, p), r)
	_ = w.Close()
}

// Write implements io.Writer. It only counts the bytes.
func (p *countingProxy) Write(b []byte) (int, error) {
	p.bytes.Add(uint64(len(b)))
	return len(b), nil
}

// testbed is a log and an entry that reaches the log through a counting proxy.
type testbed struct {
	log   *platformlog.LocalServer
	proxy *countingProxy
	entry *child
}

// startTestbed starts a testbed and waits until its entry is ready.
func startTestbed() (*testbed, error) {
	cfg := platformlog.DefaultSettings()
	log, err := platformlog.StartLocal(cfg)
	if err != nil {
		return nil, err
	}
	tb := &testbed{log: log}
	if tb.proxy, err = newCountingProxy(log.URL()); err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if tb.entry, err = startChild("entry", tb.proxy.url(), address); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get(tb.entry.url + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return tb, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("timed out waiting for the entry to be ready")
}

func (tb *testbed) stop() {
	tb.entry.stop()
	_ = tb.proxy.listener.Close()
	_ = tb.log.Stop()
}

// measureSessions measures complete agents connected to one complete entry: the
// simultaneous connection of all agents, idle usage, the distribution of a
// revision, and the reconnection to a new entry.
func measureSessions() error {
	out := newSeries()
	for range repetitions {
		for _, n := range sessionSizes {
			if err := runSessions(out, n); err != nil {
				return err
			}
		}
	}
	out.print("whole agents against one entry; sizes are agents", designAgents)
	return nil
}

func runSessions(out *series, n int) error {
	const interval = defaultInterval
	tb, err := startTestbed()
	if err != nil {
		return err
	}
	defer tb.stop()
	before, err := tb.entry.sample()
	if err != nil {
		return err
	}
	start := time.Now()
	agents, err := startChild("agents", fmt.Sprint(n), fmt.Sprint(interval), tb.entry.url)
	if err != nil {
		return err
	}
	defer agents.stop()
	connected, err := tb.entry.waitFor("connections", func(s sample) bool { return s.Connected >= int64(n) })
	if err != nil {
		return err
	}
	out.add("connect all: s", n, time.Since(start).Seconds())
	out.add("connect all: entry CPU ms", n, 1000*(connected.CPU-before.CPU))
	out.add("connect all: entry payload bytes", n, float64(connected.BytesIn+connected.BytesOut-before.BytesIn-before.BytesOut))
	time.Sleep(settleTime)
	if err := measureIdle(out, n, tb, agents); err != nil {
		return err
	}
	if err := measureRevisions(out, n, tb, agents); err != nil {
		return err
	}
	return measureReconnect(out, n, tb)
}

// measureReconnect replaces the entry and measures the reconnection of all agents.
func measureReconnect(out *series, n int, tb *testbed) error {
	address := strings.TrimPrefix(tb.entry.url, "http://")
	tb.entry.stop()
	start := time.Now()
	var err error
	if tb.entry, err = startChild("entry", tb.proxy.url(), address); err != nil {
		return err
	}
	if _, err := tb.entry.waitFor("reconnections", func(s sample) bool { return s.Connected >= int64(n) }); err != nil {
		return err
	}
	out.add("reconnect all to a new entry: s", n, time.Since(start).Seconds())
	time.Sleep(time.Second)
	e, err := tb.entry.sample()
	if err != nil {
		return err
	}
	out.add("reconnect all: entry CPU ms until 1 s after", n, 1000*e.CPU)
	out.add("reconnect all: entry payload out bytes", n, float64(e.BytesOut))
	return nil
}

// measureIdle measures the resource usage of both roles while no task runs.
func measureIdle(out *series, n int, tb *testbed, agents *child) error {
	entryBefore, err := tb.entry.sample()
	if err != nil {
		return err
	}
	agentsBefore, err := agents.sample()
	if err != nil {
		return err
	}
	logBefore := tb.proxy.bytes.Load()
	time.Sleep(measureWindow)
	entryAfter, err := tb.entry.sample()
	if err != nil {
		return err
	}
	agentsAfter, err := agents.sample()
	if err != nil {
		return err
	}
	seconds := measureWindow.Seconds()
	out.add("idle: entry CPU % of a core", n, 100*(entryAfter.CPU-entryBefore.CPU)/seconds)
	out.add("idle: all agents CPU % of a core", n, 100*(agentsAfter.CPU-agentsBefore.CPU)/seconds)
	out.add("idle: entry frames out /s", n, float64(entryAfter.FramesOut-entryBefore.FramesOut)/seconds)
	out.add("idle: entry frames in /s", n, float64(entryAfter.FramesIn-entryBefore.FramesIn)/seconds)
	out.add("idle: entry payload out B/s", n, float64(entryAfter.BytesOut-entryBefore.BytesOut)/seconds)
	out.add("idle: entry payload in B/s", n, float64(entryAfter.BytesIn-entryBefore.BytesIn)/seconds)
	frames := float64(entryAfter.FramesOut + entryAfter.FramesIn - entryBefore.FramesOut - entryBefore.FramesIn)
	bytes := float64(entryAfter.BytesOut + entryAfter.BytesIn - entryBefore.BytesOut - entryBefore.BytesIn)
	out.add("idle: entry network B/s (with headers)", n, (bytes+frames*frameOverhead)/seconds)
	out.add("idle: entry to log B/s", n, float64(tb.proxy.bytes.Load()-logBefore)/seconds)
	out.add("idle: entry RSS MB", n, entryAfter.RSS/1e6)
	out.add("idle: all agents RSS MB", n, agentsAfter.RSS/1e6)
	return nil
}

// measureRevisions publishes two configurations of a full-size deployment (390
// teams), of which the second one has one changed limit, and measures their
// distribution.
func measureRevisions(out *series, n int, tb *testbed, agents *child) error {
	client := operator.NewClient(tb.entry.url, http.DefaultClient, "")
	for i, what := range []string{"first revision", "changed revision"} {
		entryBefore, err := tb.entry.sample()
		if err != nil {
			return err
		}
		text := objects(390, i)
		start := time.Now()
		if _, err := client.Publish(context.Background(), uint64(i), text, "capacity"); err != nil {
			return err
		}
		if _, err := agents.waitFor("revision", func(s sample) bool { return s.Configured >= int64((i+1)*n) }); err != nil {
			return err
		}
		out.add(what+": s until at all agents", n, time.Since(start).Seconds())
		time.Sleep(time.Second)
		entryAfter, err := tb.entry.sample()
		if err != nil {
			return err
		}
		out.add(what+": entry payload out bytes", n, float64(entryAfter.BytesOut-entryBefore.BytesOut))
		out.add(what+": entry CPU ms until 1 s after", n, 1000*(entryAfter.CPU-entryBefore.CPU))
	}
	return nil
}

// objects returns a configuration with 100 services and the given number of teams,
// each with a limit and two routes. One limit depends on variant.
func objects(teams, variant int) []byte {
	var b strings.Builder
	for i := range 100 {
		fmt.Fprintf(&b, "kind: service\nname: s%d\nrun-time: 80ms\n---\n", i)
	}
	for i := range teams {
		rate := 100
		if i == teams/2 {
			rate += variant
		}
		fmt.Fprintf(&b, "kind: limit\nname: l%d\nrate: %d\n---\nkind: team\nname: t%d\nlimits: [l%d]\n---\n", i, rate, i, i)
		for k := range 2 {
			fmt.Fprintf(&b, "kind: route\nname: r%d-%d\nservice: s%d\nteam: t%d\n---\n", i, k, (i+k)%100, i)
		}
	}
	return []byte(b.String())
}

// measureEntries measures the resource usage of 30 complete agents that are
// connected to several complete entries.
func measureEntries() error {
	const agents = 30
	out := newSeries()
	for range repetitions {
		for _, n := range []int{1, 2, 4, 8} {
			if err := runEntries(out, n, agents); err != nil {
				return err
			}
		}
	}
	out.print("one agent against several entries (mean of 30 agents); sizes are entries", 16)
	return nil
}

func runEntries(out *series, n, agents int) error {
	log, err := platformlog.StartLocal(platformlog.DefaultSettings())
	if err != nil {
		return err
	}
	defer func() { _ = log.Stop() }()
	var urls []string
	for range n {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		e, err := startChild("entry", log.URL(), address)
		if err != nil {
			return err
		}
		defer e.stop()
		urls = append(urls, e.url)
	}
	a, err := startChild(append([]string{"agents", fmt.Sprint(agents), fmt.Sprint(defaultInterval)}, urls...)...)
	if err != nil {
		return err
	}
	defer a.stop()
	if _, err := a.waitFor("sessions", func(s sample) bool { return s.Connected >= int64(n*agents) }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	agentsBefore, err := a.sample()
	if err != nil {
		return err
	}
	time.Sleep(measureWindow)
	agentsAfter, err := a.sample()
	if err != nil {
		return err
	}
	out.add("agent CPU % of a core", n, 100*(agentsAfter.CPU-agentsBefore.CPU)/measureWindow.Seconds()/float64(agents))
	out.add("agent heap and stack MB", n, (agentsAfter.Heap+agentsAfter.Stack)/1e6/float64(agents))
	return nil
}

// measureFrames measures the processor time that an entry uses at several heartbeat
// intervals of 1,000 complete agents. The interval at which the entry sends heartbeats to
// each agent is 500 ms in all of them.
func measureFrames() error {
	out := newSeries()
	for range repetitions {
		for _, interval := range []int{150, 300, 600, 1200} {
			if err := runFrames(out, interval); err != nil {
				return err
			}
		}
	}
	out.print("entry with 1,000 agents; sizes are frames/s in and out", 16_000)
	return nil
}

func runFrames(out *series, interval int) error {
	const n = 1000
	tb, err := startTestbed()
	if err != nil {
		return err
	}
	defer tb.stop()
	agents, err := startChild("agents", fmt.Sprint(n), fmt.Sprint(interval), tb.entry.url)
	if err != nil {
		return err
	}
	defer agents.stop()
	if _, err := tb.entry.waitFor("connections", func(s sample) bool { return s.Connected >= n }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	entryBefore, err := tb.entry.sample()
	if err != nil {
		return err
	}
	time.Sleep(measureWindow)
	entryAfter, err := tb.entry.sample()
	if err != nil {
		return err
	}
	framesPerSecond := float64(entryAfter.FramesOut+entryAfter.FramesIn-entryBefore.FramesOut-entryBefore.FramesIn) / measureWindow.Seconds()
	// The heartbeat interval determines the frame rate. The rate is rounded to a multiple of
	// 100, so that runs with the same interval, whose rates differ slightly, usually have
	// the same size.
	out.add("entry CPU % of a core", int(framesPerSecond/100+0.5)*100, 100*(entryAfter.CPU-entryBefore.CPU)/measureWindow.Seconds())
	return nil
}
