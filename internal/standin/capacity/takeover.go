package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"gypsumtide"
	"gypsumtide/internal/standin/platformlog"
)

// measureTakeover measures how long it takes, and what resources an entry uses, to
// take over the shards of another entry that was killed. Bare agents are connected
// to both.
func measureTakeover() error {
	out := newSeries()
	for range repetitions {
		for _, n := range sessionSizes {
			if err := runTakeover(out, n); err != nil {
				return err
			}
		}
	}
	out.print("takeover of about half of the shards; sizes are agents", designAgents)
	return nil
}

func runTakeover(out *series, n int) error {
	log, err := platformlog.StartLocal(platformlog.DefaultSettings())
	if err != nil {
		return err
	}
	defer func() { _ = log.Stop() }()
	var entries [2]*child
	for i := range entries {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		if entries[i], err = startChild("entry", log.URL(), address); err != nil {
			return err
		}
		defer entries[i].stop()
	}
	agents, err := startChild("bare", fmt.Sprint(n), entries[0].url, entries[1].url)
	if err != nil {
		return err
	}
	defer agents.stop()
	survivor := entries[1]
	servedBefore, err := waitForShards(survivor, gypsumtide.ShardCount/3, gypsumtide.ShardCount*2/3)
	if err != nil {
		return err
	}
	if _, err := survivor.waitFor("connections", func(s sample) bool { return s.Connected >= int64(n) }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	entryBefore, err := survivor.sample()
	if err != nil {
		return err
	}
	entries[0].stop()
	start := time.Now()
	if _, err := waitForShards(survivor, gypsumtide.ShardCount, gypsumtide.ShardCount); err != nil {
		return err
	}
	took := time.Since(start).Seconds()
	entryAfter, err := survivor.sample()
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d agents: %d shards served before, all %.2f s after the other entry was killed\n", n, servedBefore, took)
	out.add("s until all shards are served", n, took)
	out.add("survivor CPU ms", n, 1000*(entryAfter.CPU-entryBefore.CPU))
	out.add("survivor payload bytes out", n, float64(entryAfter.BytesOut-entryBefore.BytesOut))
	out.add("survivor payload bytes in", n, float64(entryAfter.BytesIn-entryBefore.BytesIn))
	return nil
}

// waitForShards waits for up to 40 s until the entry serves lo to hi shards and returns
// their number.
func waitForShards(e *child, lo, hi int) (int, error) {
	deadline := time.Now().Add(40 * time.Second)
	served := 0
	for time.Now().Before(deadline) {
		var status struct {
			Shards map[string]int `json:"shards"`
		}
		resp, err := http.Get(e.url + "/v1/status")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&status)
			_ = resp.Body.Close()
		}
		if served = status.Shards["serving"]; err == nil && served >= lo && served <= hi {
			return served, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served, fmt.Errorf("timed out: %d shards served, want %d to %d", served, lo, hi)
}
