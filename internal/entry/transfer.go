package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// transferWait bounds the wait for the accepted ids of a home that handed its
// shard over. Without them every id stamped before the handover is in doubt.
const transferWait gypsumtide.Millis = 500

// inherited holds the accepted ids that the previous home of a shard handed over.
type inherited struct {
	epoch uint64
	after gypsumtide.Millis
	ids   map[gypsumtide.SubmissionID]bool
}

// covers reports whether the transfer proves that no earlier home accepted the id.
func (t *inherited) covers(epoch uint64, id gypsumtide.SubmissionID) bool {
	return t != nil && t.epoch == epoch && id.Stamp() > t.after && !t.ids[id]
}

// receive keeps a transfer for the epoch that it was made for. It may arrive
// before this entry has read its own claim.
func (h *home) receive(t *wire.Transfer) {
	if t.Shard >= gypsumtide.ShardCount {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.transfers[t.Shard]; old != nil && old.epoch >= t.Epoch {
		return
	}
	in := &inherited{epoch: t.Epoch, after: t.After, ids: make(map[gypsumtide.SubmissionID]bool, len(t.IDs))}
	for _, id := range t.IDs {
		in.ids[id] = true
	}
	h.transfers[t.Shard] = in
	now := h.clock.Now()
	for i := range t.Departed {
		d := h.departedFrom(t.Departed[i].Name, t.Departed[i].Incarnation, now)
		d.add(t.Departed[i].Started)
		d.covers[t.Shard] = true
	}
}

// transfer lists the ids of a shard that this home accepted or inherited under
// the epoch, for the home of the next one. The caller has made sure that this
// home serves the shard no more. boundary is the stamp up to which ids were in
// doubt here without a transfer.
func (h *home) transfer(s gypsumtide.ShardID, epoch uint64, boundary gypsumtide.Millis) wire.Transfer {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := wire.Transfer{Shard: s, Epoch: epoch + 1, After: boundary, Departed: h.departedOf(s)}
	if in := h.transfers[s]; in != nil && in.epoch == epoch {
		t.After = min(t.After, in.after)
		for id := range in.ids {
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

// fresh reports whether no earlier home can have accepted the id.
func (h *home) fresh(epoch uint64, id gypsumtide.SubmissionID) bool {
	return h.owner.Fresh(id) || h.transfers[id.Shard()].covers(epoch, id)
}

// awaitsTransfer reports whether the previous home of the shard handed it over
// in order and its accepted ids may still arrive.
func (h *home) awaitsTransfer(s gypsumtide.ShardID, epoch uint64) bool {
	if in := h.transfers[s]; in != nil && in.epoch == epoch {
		return false
	}
	return h.handedOver(s)
}

// handedOver reports whether the present home of a shard, this entry, received
// it from a connected home within transferWait.
func (e *Entry) handedOver(s gypsumtide.ShardID) bool {
	tenures := e.state.Tenures(s)
	if len(tenures) == 0 {
		return false
	}
	t := tenures[len(tenures)-1]
	at, ok := e.owner.TookOverAt(s)
	return ok && t.Claimer == t.Previous.Home && e.clock.Wall()-at < transferWait && e.links.find(t.Previous.Home) != nil
}

// handOver sends the accepted ids of each shard that has just passed to another
// entry, and remembers which shards this entry owns.
func (e *Entry) handOver() {
	for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
		home, epoch, self, _ := e.owner.Route(i)
		old := e.owned[i]
		switch {
		case self:
			if old.epoch != epoch {
				e.owned[i] = ownedShard{epoch: epoch}
			}
			if at, ok := e.owner.TookOverAt(i); ok && e.owned[i].boundary == 0 && epoch > 1 {
				e.owned[i].boundary = at + 2*e.cfg.MaxSkew
			}
		case old.epoch > 0:
			e.owned[i] = ownedShard{}
			if epoch != old.epoch+1 || old.epoch > 1 && old.boundary == 0 {
				// This home never served the shard, so it knows nothing of its ids.
				continue
			}
			if k := e.links.find(home.Incarnation); k != nil {
				t := e.home.transfer(i, old.epoch, old.boundary)
				k.session.Update(func(f *wire.Frame) { f.Transfers = append(f.Transfers, t) })
			}
		}
	}
}

// passOn sends a part of a departed agent's ledger to the other entries.
func (e *Entry) passOn(l wire.DepartedLedger) {
	for _, k := range e.links.all() {
		k.session.Update(func(f *wire.Frame) { f.DepartedLedgers = append(f.DepartedLedgers, l) })
	}
}

// ownedShard is a shard as of the last look of handOver.
type ownedShard struct {
	epoch uint64
	// boundary is the stamp up to which ids are in doubt without a transfer.
	boundary gypsumtide.Millis
}
