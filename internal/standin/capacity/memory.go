package main

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"gypsumtide"
	"gypsumtide/internal/ledger"
	"gypsumtide/internal/object"
	"gypsumtide/internal/queue"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// newClient returns a client that can keep designAgents idle connections to a host, one
// for each node of runLogReads.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: designAgents}}
}

// testID returns the nth submission id, a version 7 UUID with the current time as
// its timestamp.
func testID(n int) gypsumtide.SubmissionID {
	var id gypsumtide.SubmissionID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(n)*0x9e3779b97f4a7c15>>2)
	return id
}

// heapGrowth returns how many bytes of heap the value returned by build uses.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	// Objects in a sync.Pool survive the first collection, so a second one is needed.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measureMemory measures the heap usage of the data structures that grow with the
// number of ids, tasks, agents or teams, the encoded size of a snapshot, and the size and
// parse time of a configuration.
func measureMemory() error {
	ids := newSeries()
	for _, n := range []int{10_000, 30_000, 100_000, 200_000, 300_000} {
		ids.add("deduplication table: bytes", n, heapGrowth(func() any { return filledTable(n) }))
		ids.add("ledger, 1 task an id: bytes", n, heapGrowth(func() any { return filledLedger(n, 1) }))
		ids.add("ledger, 10 tasks an id: bytes", n, heapGrowth(func() any { return filledLedger(n/10, 10) }))
		ids.add("queued tasks, 390 teams: bytes", n, heapGrowth(func() any { return filledQueue(n) }))
	}
	ids.print("heap; sizes are ids or tasks", 300_000)
	agents := newSeries()
	for _, n := range sessionSizes {
		state := filledRoster(n)
		agents.add("roster: heap bytes", n, heapGrowth(func() any { return filledRoster(n) }))
		data, err := state.Snapshot()
		if err != nil {
			return err
		}
		agents.add("shards snapshot: encoded bytes", n, float64(len(data)))
	}
	agents.print("roster; sizes are agents", designAgents)
	teams := newSeries()
	for _, n := range []int{10, 50, 150, 390} {
		text := objects(n, 0)
		teams.add("configuration text: bytes", n, float64(len(text)))
		teams.add("parsed configuration: heap bytes", n, heapGrowth(func() any {
			set, _ := object.Parse(object.File{Name: "objects", Data: text})
			return set
		}))
		start := time.Now()
		if _, err := object.Parse(object.File{Name: "objects", Data: text}); err != nil {
			return err
		}
		teams.add("parse: ms", n, float64(time.Since(start).Microseconds())/1000)
	}
	teams.print("configuration; sizes are teams", 390)
	return nil
}

// filledTable returns a deduplication table with n ids whose answers have expired.
func filledTable(n int) *submission.Table {
	t := submission.NewTable(60_000, 1<<40)
	for i := range n {
		t.Add(testID(i), 1, &wire.Answer{Outcome: gypsumtide.OutcomeComplete}, 1)
	}
	t.Expire(100_000, 0)
	return t
}

// filledLedger returns a ledger with n ids, each with the given number of
// finished tasks.
func filledLedger(n, tasks int) *ledger.Ledger {
	l := ledger.New(gypsumtide.NewSystemClock(), ledger.Limits{IDRetention: 600_000, ResultRetention: 60_000})
	for i := range n {
		id := testID(i)
		for k := range tasks {
			ref := wire.TaskRef{Submission: id, Task: uint32(k), Epoch: 1}
			l.Accept(ref, 1, "")
			l.Start(ref)
			_, _ = l.Finish(wire.Result{TaskRef: ref, State: wire.TaskDone})
		}
	}
	return l
}

// filledQueue returns a queue with n tasks of up to 390 teams, in jobs of 100 tasks.
func filledQueue(n int) gypsumtide.Queue {
	q, err := queue.New(queue.Fair)
	if err != nil {
		panic(err)
	}
	for i := range n {
		q.Push(gypsumtide.NewTask(testID(i/100), uint32(i%100), service, fmt.Sprint("team-", i/100%390), 100, 1))
	}
	return q
}

// agentRecord returns the roster record of agent i.
func agentRecord(i int) wire.AgentRecord {
	return wire.AgentRecord{Name: agentName(i), Incarnation: fmt.Sprintf("019ab000-0000-7000-8000-%012d", i), Zone: fmt.Sprint("zone-", i%6), Rack: fmt.Sprint("rack-", i/3)}
}

// filledRoster returns a state whose roster has n agents.
func filledRoster(n int) *shard.State {
	s := shard.NewState()
	for i := 0; i < n; i += 256 {
		r := shard.Record{Kind: shard.AgentJoined, Time: 1}
		for k := i; k < min(n, i+256); k++ {
			r.Agents = append(r.Agents, agentRecord(k))
		}
		data, err := r.Encode()
		if err != nil {
			panic(err)
		}
		s.Apply(uint64(i/256), data)
	}
	return s
}
