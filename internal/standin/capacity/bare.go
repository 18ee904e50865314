package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// keepBareAgent keeps a bare agent connected to an entry until ctx is done. A bare
// agent speaks the agent's side of the protocol but has no ledger, HTTP server or
// upstream: it answers each dispatch at once.
func keepBareAgent(ctx context.Context, i int, incarnation, url string, counters *wire.Counters, events *logEvents) {
	clock := gypsumtide.NewSystemClock()
	timing := wire.Timing{HeartbeatInterval: 300, ReceiveTimeout: 1500}
	for ctx.Err() == nil {
		if err := runBareAgent(ctx, i, incarnation, url, clock, timing, counters, events); err != nil {
			time.Sleep(50*time.Millisecond + rand.N(200*time.Millisecond))
		}
	}
}

// runBareAgent runs one session of a bare agent.
func runBareAgent(ctx context.Context, i int, incarnation, url string, clock gypsumtide.Clock, timing wire.Timing, counters *wire.Counters, events *logEvents) error {
	s, err := wire.Dial(ctx, &http.Client{}, "ws"+strings.TrimPrefix(url, "http")+"/v1/session", "", clock, timing, counters)
	if err != nil {
		return err
	}
	defer s.Close()
	hello := &wire.Hello{Kind: "agent", Name: agentName(i), Incarnation: incarnation, Zone: fmt.Sprint("zone-", i%6), Rack: fmt.Sprint("rack-", i/3)}
	if err := s.WriteFrame(ctx, &wire.Frame{Hello: hello}); err != nil {
		return err
	}
	if _, err := s.ReadFrame(ctx); err != nil {
		return err
	}
	events.connected.Add(1)
	s.Update(func(f *wire.Frame) {
		f.Announcement = &wire.Announcement{Upstreams: []wire.Upstream{{Name: "u", Services: []string{service}, Slots: 8}}}
		f.Load = &gypsumtide.Load{}
	})
	return s.Run(ctx, func(f *wire.Frame) error {
		if len(f.Dispatches)+len(f.FenceRequests) == 0 {
			return nil
		}
		s.Update(func(out *wire.Frame) {
			out.Load = &gypsumtide.Load{}
			out.FenceConfirmations = append(out.FenceConfirmations, f.FenceRequests...)
			for _, d := range f.Dispatches {
				out.Results = append(out.Results, wire.Result{TaskRef: d.TaskRef, State: wire.TaskDone, Status: 200, Body: []byte("1"), RunTime: 50, Upstream: "u", ContentType: "application/json"})
			}
		})
		return nil
	})
}
