package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/wire"
)

const (
	// controlInterval is the time between two decisions of the shard manager.
	controlInterval = 25 * time.Millisecond
	// appendTimeout bounds one append of the shard manager, which repeats it.
	appendTimeout = 1500 * time.Millisecond
)

// The streams of the platform's log.
const (
	shardsStream        = "shards"
	configurationStream = "configuration"
)

// control feeds the shard manager and carries out its actions until ctx is done.
func (e *Entry) control(ctx context.Context) error {
	g := group.New(ctx)
	t := time.NewTicker(controlInterval)
	defer t.Stop()
	var lastBeat gypsumtide.Millis
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-t.C:
		}
		if at := e.shards.ReadAt(); at > 0 {
			e.owner.LogRead(at)
		}
		for _, a := range e.owner.Tick() {
			e.execute(g, a)
		}
		if now := e.clock.Now(); now-lastBeat >= heartbeat {
			lastBeat = now
			e.beat(now)
			e.links.ensure(g, e.peerURLs())
			e.announceEntries()
		}
		// Owning nothing of a shard any more, the home can list its ids
		// before its jobs are released.
		e.handOver()
		e.home.release(func(s gypsumtide.ShardID, epoch uint64) bool {
			_, current, self, _ := e.owner.Route(s)
			return self && current == epoch
		})
	}
}

// beat sends a heartbeat to every other entry.
func (e *Entry) beat(now gypsumtide.Millis) {
	var names []string
	for _, k := range e.links.all() {
		names = append(names, k.incarnation)
	}
	e.home.setHomes(names, now)
	hb := e.owner.Heartbeat()
	hb.Usage = e.home.usage(now)
	for _, k := range e.links.all() {
		k.session.Update(func(f *wire.Frame) { f.Heartbeat = &hb })
	}
}

// execute carries out one action of the shard manager.
func (e *Entry) execute(g *group.Group, a shard.Action) {
	switch a.Kind {
	case shard.ActionAppend:
		g.Add("append to the shards stream", func(ctx context.Context) error {
			e.appendRecord(ctx, a)
			return nil
		})
	case shard.ActionPromise:
		e.home.askPromises(a.Peer, a.Promises)
	case shard.ActionNote:
		if k := e.links.find(a.Peer); k != nil {
			k.session.Update(func(f *wire.Frame) { f.RosterUpdates = append(f.RosterUpdates, a.Notes...) })
		}
	}
}

func (e *Entry) appendRecord(ctx context.Context, a shard.Action) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := e.shards.Append(ctx, journal.NewID(), a.Record)
	var offset uint64
	if err == nil {
		// The record has been read back, so its offset is below the position.
		offset = e.shards.Position() - 1
	} else {
		e.log.Info("append to the shards stream failed", "error", err.Error())
	}
	e.owner.Appended(a.ID, offset, err)
}

// askPromises sends promise requests to an agent.
func (h *home) askPromises(incarnation string, promises []wire.ShardEpoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.agents[incarnation]
	if c == nil || c.session == nil {
		return
	}
	c.session.Update(func(f *wire.Frame) { f.FenceRequests = append(f.FenceRequests, promises...) })
}

// learn remembers where other entries can be dialled.
func (e *Entry) learn(entries []wire.EntryInfo) {
	e.learnedMu.Lock()
	defer e.learnedMu.Unlock()
	for _, info := range entries {
		e.learned[info.URL] = true
	}
}

// peerURLs returns the base URLs of all entries that may be running.
func (e *Entry) peerURLs() map[string]bool {
	urls := make(map[string]bool)
	for _, u := range e.cfg.Peers {
		urls[u] = true
	}
	for _, info := range e.entryList() {
		urls[info.URL] = true
	}
	if !e.shards.Ready() {
		e.learnedMu.Lock()
		maps.Copy(urls, e.learned)
		e.learnedMu.Unlock()
	}
	return urls
}

// entryList returns the entries that the shards stream holds as present.
func (e *Entry) entryList() []wire.EntryInfo {
	infos := []wire.EntryInfo{e.owner.Self()}
	for _, m := range e.state.Entries() {
		if m.Member.Present() && m.Incarnation != e.incarnation {
			infos = append(infos, m.EntryInfo)
		}
	}
	return infos
}

// announceEntries sends the list of entries to the agents when it changes, so
// that they dial the new ones and drop those that left.
func (e *Entry) announceEntries() {
	list := e.entryList()
	slices.SortFunc(list, func(a, b wire.EntryInfo) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	if slices.Equal(list, e.announced) {
		return
	}
	e.announced = list
	welcome := e.welcome()
	e.home.eachAgent(func(s *wire.Session) {
		s.Update(func(f *wire.Frame) { f.Welcome = welcome })
	})
}

// welcome returns the message that names this entry and lists the others.
func (e *Entry) welcome() *wire.Welcome {
	return &wire.Welcome{Name: e.cfg.Name, Incarnation: e.incarnation, Entries: e.entryList()}
}

// stateReply returns the folded control streams for a peer, or nil if this
// entry has not read them.
func (e *Entry) stateReply() *wire.StateReply {
	r := &wire.StateReply{}
	var err error
	if r.ShardsOffset, r.Shards, err = e.shards.SnapshotState(); err != nil {
		return nil
	}
	if r.ConfigurationOffset, r.Configuration, err = e.configs.SnapshotState(); err != nil {
		return nil
	}
	return r
}

// adopt takes a peer's control streams where they are newer than the own ones.
func (e *Entry) adopt(peer string, r *wire.StateReply) error {
	shards, err := e.shards.Adopt(r.ShardsOffset, r.Shards)
	if err != nil {
		return gypsumtide.NewError("adopt shards stream", peer, err)
	}
	configs, err := e.configs.Adopt(r.ConfigurationOffset, r.Configuration)
	if err != nil {
		return gypsumtide.NewError("adopt configuration stream", peer, err)
	}
	e.log.Info("control streams received from a peer", "peer", peer, "shards-adopted", shards, "configuration-adopted", configs)
	return nil
}
