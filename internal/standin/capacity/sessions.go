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
	// settleTime lets joins, claims and the first collections of garbage pass.
	settleTime = 4 * time.Second
	// window is the time over which idle use is measured.
	window = 5 * time.Second
	// frameOverhead is worked out, not measured: WebSocket header and mask 6 or
	// 2 bytes, TCP 32, IP 20, Ethernet 18, and a pure acknowledgement of 70.
	frameOverhead = 144
	repeats       = 2
	// defaultInterval is the heartbeat of agents by default, in milliseconds.
	defaultInterval = 300
)

var sessionSizes = []int{100, 300, 1000, 3000}

// proxy counts the bytes between an entry and the log.
type proxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Uint64
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: strings.TrimPrefix(target, "http://")}
	go p.accept()
	return p, nil
}

func (p *proxy) url() string { return "http://" + p.listener.Addr().String() }

func (p *proxy) accept() {
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

func (p *proxy) copy(w, r net.Conn) {
	_, _ = io.Copy(io.MultiWriter(w, p), r)
	_ = w.Close()
}

// Write implements io.Writer.
func (p *proxy) Write(b []byte) (int, error) {
	p.bytes.Add(uint64(len(b)))
	return len(b), nil
}

// site is a log and an entry.
type site struct {
	log   *platformlog.LocalServer
	proxy *proxy
	entry *child
}

func startSite() (*site, error) {
	cfg := platformlog.DefaultSettings()
	log, err := platformlog.StartLocal(cfg)
	if err != nil {
		return nil, err
	}
	s := &site{log: log}
	if s.proxy, err = newProxy(log.URL()); err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if s.entry, err = startChild("entry", s.proxy.url(), address); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get(s.entry.url + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return s, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("entry not ready")
}

func (s *site) stop() {
	s.entry.stop()
	_ = s.proxy.listener.Close()
	_ = s.log.Stop()
}

// measureSessions measures whole agents against one whole entry: connection of
// all at once, idle use, and the spread of a revision.
func measureSessions() error {
	out := newSeries()
	for range repeats {
		for _, n := range sessionSizes {
			if err := sessions(out, n); err != nil {
				return err
			}
		}
	}
	out.print("whole agents against one entry; sizes are agents", fullAgents)
	return nil
}

func sessions(out *series, n int) error {
	const interval = defaultInterval
	s, err := startSite()
	if err != nil {
		return err
	}
	defer s.stop()
	before, err := s.entry.sample()
	if err != nil {
		return err
	}
	start := time.Now()
	agents, err := startChild("agents", fmt.Sprint(n), fmt.Sprint(interval), s.entry.url)
	if err != nil {
		return err
	}
	defer agents.stop()
	up, err := s.entry.await("connections", func(u sample) bool { return u.Connected >= int64(n) })
	if err != nil {
		return err
	}
	out.add("connect all: s", n, time.Since(start).Seconds())
	out.add("connect all: entry CPU ms", n, 1000*(up.CPU-before.CPU))
	out.add("connect all: entry payload bytes", n, float64(up.BytesIn+up.BytesOut-before.BytesIn-before.BytesOut))
	time.Sleep(settleTime)
	if err := idle(out, n, s, agents); err != nil {
		return err
	}
	if err := revisions(out, n, s, agents); err != nil {
		return err
	}
	return reconnect(out, n, s)
}

// reconnect measures a replaced entry, which all agents dial again.
func reconnect(out *series, n int, s *site) error {
	address := strings.TrimPrefix(s.entry.url, "http://")
	s.entry.stop()
	start := time.Now()
	var err error
	if s.entry, err = startChild("entry", s.proxy.url(), address); err != nil {
		return err
	}
	if _, err := s.entry.await("reconnections", func(u sample) bool { return u.Connected >= int64(n) }); err != nil {
		return err
	}
	out.add("reconnect all to a new entry: s", n, time.Since(start).Seconds())
	time.Sleep(time.Second)
	e, err := s.entry.sample()
	if err != nil {
		return err
	}
	out.add("reconnect all: entry CPU ms until 1 s after", n, 1000*e.CPU)
	out.add("reconnect all: entry payload out bytes", n, float64(e.BytesOut))
	return nil
}

// idle measures the use of both roles while no task runs.
func idle(out *series, n int, s *site, agents *child) error {
	e0, err := s.entry.sample()
	if err != nil {
		return err
	}
	a0, err := agents.sample()
	if err != nil {
		return err
	}
	log0 := s.proxy.bytes.Load()
	time.Sleep(window)
	e1, err := s.entry.sample()
	if err != nil {
		return err
	}
	a1, err := agents.sample()
	if err != nil {
		return err
	}
	per := window.Seconds()
	out.add("idle: entry CPU % of a core", n, 100*(e1.CPU-e0.CPU)/per)
	out.add("idle: all agents CPU % of a core", n, 100*(a1.CPU-a0.CPU)/per)
	out.add("idle: entry frames out /s", n, float64(e1.FramesOut-e0.FramesOut)/per)
	out.add("idle: entry frames in /s", n, float64(e1.FramesIn-e0.FramesIn)/per)
	out.add("idle: entry payload out B/s", n, float64(e1.BytesOut-e0.BytesOut)/per)
	out.add("idle: entry payload in B/s", n, float64(e1.BytesIn-e0.BytesIn)/per)
	frames := float64(e1.FramesOut + e1.FramesIn - e0.FramesOut - e0.FramesIn)
	bytes := float64(e1.BytesOut + e1.BytesIn - e0.BytesOut - e0.BytesIn)
	out.add("idle: entry network B/s (with headers)", n, (bytes+frames*frameOverhead)/per)
	out.add("idle: entry to log B/s", n, float64(s.proxy.bytes.Load()-log0)/per)
	out.add("idle: entry RSS MB", n, e1.RSS/1e6)
	out.add("idle: all agents RSS MB", n, a1.RSS/1e6)
	return nil
}

// revisions publishes two full-size sets, the second with one changed limit.
func revisions(out *series, n int, s *site, agents *child) error {
	client := operator.NewClient(s.entry.url, http.DefaultClient, "")
	for i, what := range []string{"first revision", "changed revision"} {
		e0, err := s.entry.sample()
		if err != nil {
			return err
		}
		text := objects(390, i)
		start := time.Now()
		if _, err := client.Publish(context.Background(), uint64(i), text, "capacity"); err != nil {
			return err
		}
		if _, err := agents.await("revision", func(a sample) bool { return a.Configured >= int64((i+1)*n) }); err != nil {
			return err
		}
		out.add(what+": s until at all agents", n, time.Since(start).Seconds())
		time.Sleep(time.Second)
		e1, err := s.entry.sample()
		if err != nil {
			return err
		}
		out.add(what+": entry payload out bytes", n, float64(e1.BytesOut-e0.BytesOut))
		out.add(what+": entry CPU ms in 1 s after", n, 1000*(e1.CPU-e0.CPU))
	}
	return nil
}

// objects returns the set of a number of teams, with one limit that depends on variant.
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

// measureEntries measures the use of 30 whole agents against whole entries.
func measureEntries() error {
	const agents = 30
	out := newSeries()
	for range repeats {
		for _, n := range []int{1, 2, 4, 8} {
			if err := entries(out, n, agents); err != nil {
				return err
			}
		}
	}
	out.print("one agent against several entries (mean of 30 agents); sizes are entries", 16)
	return nil
}

func entries(out *series, n, agents int) error {
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
	if _, err := a.await("sessions", func(u sample) bool { return u.Connected >= int64(n*agents) }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	a0, err := a.sample()
	if err != nil {
		return err
	}
	time.Sleep(window)
	a1, err := a.sample()
	if err != nil {
		return err
	}
	out.add("agent CPU % of a core", n, 100*(a1.CPU-a0.CPU)/window.Seconds()/float64(agents))
	out.add("agent heap and stack MB", n, (a1.Heap+a1.Stack)/1e6/float64(agents))
	return nil
}

// measureFrames measures the entry's use at several heartbeat intervals of
// 1,000 whole agents. The entry's own interval stays at 500 ms.
func measureFrames() error {
	out := newSeries()
	for range repeats {
		for _, interval := range []int{150, 300, 600, 1200} {
			if err := frames(out, interval); err != nil {
				return err
			}
		}
	}
	out.print("entry with 1,000 agents; sizes are frames/s in and out", 16_000)
	return nil
}

func frames(out *series, interval int) error {
	const n = 1000
	s, err := startSite()
	if err != nil {
		return err
	}
	defer s.stop()
	agents, err := startChild("agents", fmt.Sprint(n), fmt.Sprint(interval), s.entry.url)
	if err != nil {
		return err
	}
	defer agents.stop()
	if _, err := s.entry.await("connections", func(u sample) bool { return u.Connected >= n }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	e0, err := s.entry.sample()
	if err != nil {
		return err
	}
	time.Sleep(window)
	e1, err := s.entry.sample()
	if err != nil {
		return err
	}
	per := float64(e1.FramesOut+e1.FramesIn-e0.FramesOut-e0.FramesIn) / window.Seconds()
	// The interval fixes the frames, so rounding lets the runs share a size.
	out.add("entry CPU % of a core", int(per/100+0.5)*100, 100*(e1.CPU-e0.CPU)/window.Seconds())
	return nil
}
