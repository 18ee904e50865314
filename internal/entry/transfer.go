package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// transferTimeout bounds the wait for the accepted ids of a home that handed its
// shard over. Without them every id with a timestamp up to ownedShard.boundary needs a
// recovery.
const transferTimeout gypsumtide.Millis = 500

// receivedTransfer holds the ids that earlier homes of a shard accepted, as sent by
// the previous home. It is complete for ids with timestamps later than after.
type receivedTransfer struct {
	epoch uint64
	after gypsumtide.Millis
	ids   map[gypsumtide.SubmissionID]bool
}

// provesNew reports whether the transfer proves that no earlier home accepted the id.
func (t *receivedTransfer) provesNew(epoch uint64, id gypsumtide.SubmissionID) bool {
	return t != nil && t.epoch == epoch && id.Timestamp() > t.after && !t.ids[id]
}

// storeTransfer stores a transfer together with the epoch that it was made for. It
// may arrive before this entry has read from the shards stream that it owns the shard.
func (h *home) storeTransfer(t *wire.Transfer) {
	if t.Shard >= gypsumtide.ShardCount {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.transfers[t.Shard]; old != nil && old.epoch >= t.Epoch {
		return
	}
	received := &receivedTransfer{epoch: t.Epoch, after: t.After, ids: make(map[gypsumtide.SubmissionID]bool, len(t.IDs))}
	for _, id := range t.IDs {
		received.ids[id] = true
	}
	h.transfers[t.Shard] = received
	now := h.clock.Now()
	for i := range t.FinalLedgers {
		ledger := h.finalLedgerOf(t.FinalLedgers[i].Name, t.FinalLedgers[i].Incarnation, now)
		ledger.addTasks(t.FinalLedgers[i].Started)
		ledger.completeFor[t.Shard] = true
	}
}

// newTransfer lists the ids of a shard that this home accepted or received under
// the epoch, for the home of the next one. It leaves out the accepted ids of jobs that
// ended as not run, since they may be run again. The caller has made sure that this
// home no longer serves the shard, so that it accepts no further ids. boundary is the
// timestamp up to which ids need a recovery at this home if it received no transfer.
func (h *home) newTransfer(s gypsumtide.ShardID, epoch uint64, boundary gypsumtide.Millis) wire.Transfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := wire.Transfer{Shard: s, Epoch: epoch + 1, After: boundary, FinalLedgers: h.finalLedgersOf(s)}
	if received := h.transfers[s]; received != nil && received.epoch == epoch {
		t.After = min(t.After, received.after)
		for id := range received.ids {
			t.IDs = append(t.IDs, id)
		}
	}
	t.After = max(t.After, h.table.Floor())
	for id := range h.jobs {
		if id.Shard() == s {
			t.IDs = append(t.IDs, id)
		}
	}
	h.table.Each(func(id gypsumtide.SubmissionID) {
		if id.Shard() == s {
			t.IDs = append(t.IDs, id)
		}
	})
	return t
}

// neverAccepted reports whether no earlier home can have accepted the id.
func (h *home) neverAccepted(epoch uint64, id gypsumtide.SubmissionID) bool {
	return h.shardManager.ProvablyNew(id) || h.transfers[id.Shard()].provesNew(epoch, id)
}

// awaitsTransfer reports whether the previous home handed the shard over
// gracefully and its accepted ids may still arrive.
func (h *home) awaitsTransfer(s gypsumtide.ShardID, epoch uint64) bool {
	if received := h.transfers[s]; received != nil && received.epoch == epoch {
		return false
	}
	return h.transferExpected(s)
}

// transferExpected reports whether a home that is still connected handed the
// shard over to this entry, its current home, less than transferTimeout ago.
func (e *Entry) transferExpected(s gypsumtide.ShardID) bool {
	epochs := e.shardState.Epochs(s)
	if len(epochs) == 0 {
		return false
	}
	latest := epochs[len(epochs)-1]
	at, ok := e.shardManager.TookOverAt(s)
	return ok && latest.Claimer == latest.Previous.Home && e.clock.Wall()-at < transferTimeout && e.peers.find(latest.Previous.Home) != nil
}

// sendTransfers sends the accepted ids of each shard that has just passed to
// another entry, and records which shards this entry owns.
func (e *Entry) sendTransfers() {
	for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
		home, epoch, self, _ := e.shardManager.Route(i)
		old := e.owned[i]
		switch {
		case self:
			if old.epoch != epoch {
				e.owned[i] = ownedShard{epoch: epoch}
			}
			if at, ok := e.shardManager.TookOverAt(i); ok && e.owned[i].boundary == 0 && epoch > 1 {
				e.owned[i].boundary = at + 2*e.cfg.MaxSkew
			}
		case old.epoch > 0:
			e.owned[i] = ownedShard{}
			if epoch != old.epoch+1 || old.epoch > 1 && old.boundary == 0 {
				// The epoch that the transfer would be for has ended already, or this home
				// never served the shard and so has none of its ids.
				continue
			}
			if peer := e.peers.find(home.Incarnation); peer != nil {
				t := e.home.newTransfer(i, old.epoch, old.boundary)
				peer.session.Update(func(f *wire.Frame) { f.Transfers = append(f.Transfers, t) })
			}
		}
	}
}

// forwardFinalLedgerPart forwards a part of an agent's final ledger to the other
// entries.
func (e *Entry) forwardFinalLedgerPart(part wire.FinalLedgerPart) {
	for _, peer := range e.peers.all() {
		peer.session.Update(func(f *wire.Frame) { f.FinalLedgerParts = append(f.FinalLedgerParts, part) })
	}
}

// ownedShard is the state of a shard at the last call of sendTransfers.
type ownedShard struct {
	epoch uint64
	// boundary is the timestamp up to which ids need a recovery if no transfer was
	// received. For later ones, shard.Manager.ProvablyNew holds.
	boundary gypsumtide.Millis
}
