package main

import (
	"bytes"
	"compress/flate"
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/wire"
)

// measureBytes measures the encoded sizes of messages, records and configurations that
// hold n shards, agents, tasks, ids or teams, for several n, and the size of the
// configurations when compressed.
func measureBytes() error {
	out := newSeries()
	add := func(name string, n int, v any) error {
		data, err := wire.Marshal(v)
		if err != nil {
			return err
		}
		out.add(name, n, float64(len(data)))
		return nil
	}
	id := testID(1)
	ref := wire.TaskRef{Submission: id, Task: 500, Epoch: 7}
	for _, n := range []int{1, 4, 16, 64} {
		fences := wire.Frame{Clock: 1e6, Echo: 1e6}
		claim := shard.Record{Kind: shard.Claim, Time: 1.7e12, Author: agentRecord(1).Incarnation, Home: agentRecord(1).Incarnation, Successor: agentRecord(2).Incarnation}
		heartbeat := wire.Heartbeat{Sequence: 1e6, Wall: 1.7e12, Ready: true, Offset: 1e6}
		joined := shard.Record{Kind: shard.AgentJoined, Time: 1.7e12}
		dispatches := wire.Frame{Clock: 1e6, Echo: 1e6}
		results := wire.Frame{Clock: 1e6, Echo: 1e6}
		for i := range n {
			fences.FenceRequests = append(fences.FenceRequests, wire.ShardEpoch{Shard: gypsumtide.ShardID(i), Epoch: 7})
			heartbeat.Shards = fences.FenceRequests
			claim.Shards = append(claim.Shards, shard.ShardRef{Shard: gypsumtide.ShardID(i), Epoch: 7, BaseOffset: 1e6})
			joined.Agents = append(joined.Agents, agentRecord(i))
			dispatches.Dispatches = append(dispatches.Dispatches, wire.Dispatch{TaskRef: ref, Shard: 7, Service: service, Budget: 5000, Payload: make([]byte, 200), ContentType: "application/json"})
			results.Results = append(results.Results, wire.Result{TaskRef: ref, State: wire.TaskDone, Status: 200, Body: make([]byte, 200), RunTime: 50, Upstream: "u", ContentType: "application/json"})
		}
		recovered := wire.Frame{Clock: 1e6, Echo: 1e6}
		for range n {
			recovered.RecoveryReplies = append(recovered.RecoveryReplies, wire.StartedTasks{Submission: id, Epoch: 7, Tasks: []wire.Result{{TaskRef: ref, State: wire.TaskRunning}}})
		}
		for name, v := range map[string]any{
			"fence request frame, per shard": fences, "claim record, per shard": claim, "entry heartbeat, per shard": heartbeat,
			"agent-joined record, per agent": joined, "dispatch frame, per task of 200 bytes": dispatches,
			"result frame, per task of 200 bytes": results, "recovery reply frame, per id with 1 task": recovered,
		} {
			if err := add(name, n, v); err != nil {
				return err
			}
		}
	}
	out.print("encoded bytes; sizes are shards, agents, tasks or ids", 64)
	teams := newSeries()
	for _, n := range []int{10, 50, 150, 390} {
		var hb wire.Heartbeat
		for i := range n {
			hb.Usage = append(hb.Usage, wire.TeamUsage{Team: fmt.Sprint("team-", i), Rate: 612.7 + float64(i)/3, Open: 50 + i, Demand: 700.1})
		}
		data, err := wire.Marshal(hb)
		if err != nil {
			return err
		}
		teams.add("heartbeat with usage: bytes", n, float64(len(data)))
		text := objects(n, 0)
		teams.add("configuration text: bytes", n, float64(len(text)))
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.DefaultCompression)
		if err != nil {
			return err
		}
		if _, err := w.Write(text); err != nil {
			return err
		}
		if err := w.Close(); err != nil {
			return err
		}
		teams.add("configuration, deflated: bytes", n, float64(b.Len()))
	}
	teams.print("encoded bytes; sizes are teams", 390)
	return nil
}
