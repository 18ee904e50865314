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
	// controlInterval is the interval at which the shard manager is asked for actions.
	controlInterval = 25 * time.Millisecond
	// appendTimeout bounds one append that the shard manager has asked for. The manager
	// retries a failed one.
	appendTimeout = 1500 * time.Millisecond
)

// Names of the control streams in the platform's log.
const (
	shardsStream        = "shards"
	configurationStream = "configuration"
)

// control drives the shard manager and executes its actions until ctx is done.
func (e *Entry) control(ctx context.Context) error {
	g := group.New(ctx)
	t := time.NewTicker(controlInterval)
	defer t.Stop()
	var lastHeartbeat gypsumtide.Millis
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-t.C:
		}
		// Until then this entry cannot become the home of a shard, so it places no task
		// before it knows which zones are evacuated.
		if at := e.shardsFollower.CaughtUpAt(); at > 0 && e.configured.Load() {
			e.shardManager.HandleLogRead(at)
		}
		for _, a := range e.shardManager.Tick() {
			e.execute(g, a)
		}
		if now := e.clock.Now(); now-lastHeartbeat >= entryHeartbeatInterval {
			lastHeartbeat = now
			e.sendHeartbeats(now)
			e.peers.setURLs(g, e.peerURLs())
			e.announceEntries()
		}
		// sendTransfers lists the accepted ids of shards that this entry no longer
		// owns, so it has to run before releaseJobs removes their jobs.
		e.sendTransfers()
		e.home.releaseJobs(func(s gypsumtide.ShardID, epoch uint64) bool {
			_, current, self, _ := e.shardManager.Route(s)
			return self && current == epoch
		})
	}
}

// sendHeartbeats sends a heartbeat with the quota usage of this home to every
// connected entry.
func (e *Entry) sendHeartbeats(now gypsumtide.Millis) {
	var incarnations []string
	for _, peer := range e.peers.all() {
		incarnations = append(incarnations, peer.incarnation)
	}
	e.home.setHomes(incarnations, now)
	hb := e.shardManager.Heartbeat()
	hb.Usage = e.home.usage(now)
	for _, peer := range e.peers.all() {
		peer.session.Update(func(f *wire.Frame) { f.Heartbeat = &hb })
	}
}

// execute executes one action of the shard manager.
func (e *Entry) execute(g *group.Group, a shard.Action) {
	switch a.Kind {
	case shard.ActionAppend:
		g.Add("append to the shards stream", func(ctx context.Context) error {
			e.appendRecord(ctx, a)
			return nil
		})
	case shard.ActionSendFenceRequests:
		e.home.sendFenceRequests(a.Peer, a.FenceRequests)
	case shard.ActionSendRosterUpdates:
		if peer := e.peers.find(a.Peer); peer != nil {
			peer.session.Update(func(f *wire.Frame) { f.RosterUpdates = append(f.RosterUpdates, a.RosterUpdates...) })
		}
	}
}

func (e *Entry) appendRecord(ctx context.Context, a shard.Action) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := e.shardsFollower.Append(ctx, journal.NewID(), a.Record)
	var offset uint64
	if err == nil {
		// Append returns once the record has been read back, so its offset is below
		// the position.
		offset = e.shardsFollower.Position() - 1
	} else {
		e.log.Info("append to the shards stream failed", "error", err.Error())
	}
	e.shardManager.HandleAppendResult(a.ID, offset, err)
}

// sendFenceRequests asks an agent to reject tasks of the shards' earlier epochs.
func (h *home) sendFenceRequests(incarnation string, requests []wire.ShardEpoch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.agents[incarnation]
	if c == nil || c.session == nil {
		return
	}
	c.session.Update(func(f *wire.Frame) { f.FenceRequests = append(f.FenceRequests, requests...) })
}

// rememberURLs stores the URLs of the entries that a peer lists. They are used until this
// entry has read the shards stream or adopted its state from a peer.
func (e *Entry) rememberURLs(entries []wire.EntryInfo) {
	e.knownURLsMu.Lock()
	defer e.knownURLsMu.Unlock()
	for _, info := range entries {
		e.knownURLs[info.URL] = true
	}
}

// peerURLs returns the base URLs of all entries that may be running.
func (e *Entry) peerURLs() map[string]bool {
	urls := make(map[string]bool)
	for _, u := range e.cfg.Peers {
		urls[u] = true
	}
	for _, info := range e.presentEntries() {
		urls[info.URL] = true
	}
	if !e.shardsFollower.Ready() {
		e.knownURLsMu.Lock()
		maps.Copy(urls, e.knownURLs)
		e.knownURLsMu.Unlock()
	}
	return urls
}

// presentEntries returns this entry and the others that the shards stream lists
// as present.
func (e *Entry) presentEntries() []wire.EntryInfo {
	infos := []wire.EntryInfo{e.shardManager.Self()}
	for _, m := range e.shardState.Entries() {
		if m.Member.Present() && m.Incarnation != e.incarnation {
			infos = append(infos, m.EntryInfo)
		}
	}
	return infos
}

// announceEntries sends the list of entries to the agents when it changes, so
// that they dial new entries and stop dialling those that have left.
func (e *Entry) announceEntries() {
	list := e.presentEntries()
	slices.SortFunc(list, func(a, b wire.EntryInfo) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	if slices.Equal(list, e.announcedEntries) {
		return
	}
	e.announcedEntries = list
	welcome := e.welcome()
	e.home.forEachAgentSession(func(s *wire.Session) {
		s.Update(func(f *wire.Frame) { f.Welcome = welcome })
	})
}

// welcome returns the message that names this entry and lists all present entries.
func (e *Entry) welcome() *wire.Welcome {
	return &wire.Welcome{Name: e.cfg.Name, Incarnation: e.incarnation, Entries: e.presentEntries()}
}

// stateReply returns the state of the control streams for a peer, or nil if
// this entry has not yet read both or adopted them from another peer.
func (e *Entry) stateReply() *wire.StateReply {
	r := &wire.StateReply{}
	var err error
	if r.ShardsOffset, r.Shards, err = e.shardsFollower.SnapshotState(); err != nil {
		return nil
	}
	if r.ConfigurationOffset, r.Configuration, err = e.configurationFollower.SnapshotState(); err != nil {
		return nil
	}
	return r
}

// adoptState replaces the state of each control stream by the peer's if that is
// newer.
func (e *Entry) adoptState(peer string, r *wire.StateReply) error {
	shards, err := e.shardsFollower.Adopt(r.ShardsOffset, r.Shards)
	if err != nil {
		return gypsumtide.NewError("adopt shards stream", peer, err)
	}
	configs, err := e.configurationFollower.Adopt(r.ConfigurationOffset, r.Configuration)
	if err != nil {
		return gypsumtide.NewError("adopt configuration stream", peer, err)
	}
	e.log.Info("received the state of the control streams from a peer", "peer", peer, "shards-adopted", shards, "configuration-adopted", configs)
	return nil
}
