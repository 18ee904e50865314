package shard

import (
	"gypsumtide"
)

// operation is an append that is awaited. While an attempt may still take
// effect, the entry acts as if it could do so at any moment: a claimer
// acknowledges nothing, a home that names a successor or hands over counts no
// acknowledgements.
type operation struct {
	record Record
	// shards are the indexes of the shards that still await this operation.
	shards []int
	sentAt gypsumtide.Millis
	// outstanding means that the owner has not reported the last attempt.
	outstanding bool
	// uncertain means that an attempt may take effect late.
	uncertain bool
	// failed means that the last attempt certainly did not take effect.
	failed   bool
	appended bool
	offset   uint64
	doneAt   gypsumtide.Millis
}

func (op *operation) takeover(self string) bool {
	return op.record.Kind == Claim && op.record.Home == self
}

// send makes the action of the next attempt.
func (m *Manager) send(op *operation) (Action, bool) {
	op.record.Time = m.clock.Wall()
	data, err := op.record.Encode()
	if err != nil {
		// The manager fills in every field, so this is a fault of the program.
		m.rejected++
		return Action{}, false
	}
	m.lastID++
	op.sentAt = m.clock.Now()
	op.outstanding, op.failed, op.appended = true, false, false
	m.appends[m.lastID] = op
	return Action{Kind: ActionAppend, ID: m.lastID, Record: data}, true
}

// settleOperation ends a shard operation that certainly takes no effect any
// more. One that took effect has been ended by sync.
func (m *Manager) settleOperation(op *operation) {
	if len(op.shards) == 0 || op.outstanding {
		return
	}
	// A record that was read without effect is invalid. What made it invalid
	// lasts: a newer record of the shard, or the departure of its author or
	// home. Its other attempts are therefore invalid as well.
	// The fold may never see the offset of a repeated record, so a read that
	// was sent after the append counts as well.
	invalid := op.appended && (m.next > op.offset || m.logRead > op.doneAt)
	if !invalid && (op.uncertain || !op.failed) {
		return
	}
	for _, i := range op.shards {
		sh := &m.shards[i]
		sh.op = nil
		sh.backoff = m.clock.Now() + m.cfg.RetryInterval/2
		switch sh.machine.State() {
		case "claiming":
			m.fire(sh, "claim-failed")
		case "handing-over":
			m.fire(sh, "handover-failed")
		}
	}
	op.shards = nil
}

// detach removes a shard whose operation took effect or was overtaken.
func (m *Manager) detach(i int) {
	sh := &m.shards[i]
	if sh.op == nil {
		return
	}
	for k, s := range sh.op.shards {
		if s == i {
			sh.op.shards = append(sh.op.shards[:k], sh.op.shards[k+1:]...)
			break
		}
	}
	sh.op = nil
}

// retryOperations appends again what is not settled. The base offsets in the
// record make a second effect impossible.
func (m *Manager) retryOperations(now gypsumtide.Millis) []Action {
	var out []Action
	for i := range m.shards {
		op := m.shards[i].op
		if op == nil || op.outstanding || len(op.shards) == 0 || op.shards[0] != i {
			continue
		}
		m.settleOperation(op)
		if len(op.shards) == 0 || op.appended || !m.logFresh() || now-op.sentAt < m.cfg.RetryInterval {
			continue
		}
		op.record.Shards = m.refs(op)
		if a, ok := m.send(op); ok {
			out = append(out, a)
		}
	}
	return out
}

func (m *Manager) refs(op *operation) []ShardRef {
	refs := make([]ShardRef, 0, len(op.shards))
	for _, i := range op.shards {
		h := m.shards[i].home
		epoch := h.Epoch
		if op.record.Kind == Claim {
			epoch++
		}
		settled := op.record.Kind == Claim && h.Epoch > 0 && m.shards[i].settledEpoch == h.Epoch
		refs = append(refs, ShardRef{Shard: gypsumtide.ShardID(i), Epoch: epoch, BaseOffset: h.Offset, Settled: settled})
	}
	return refs
}

// batch collects the shard operations of one Tick, so that one record serves
// many shards.
type batch struct {
	ops   map[batchKey]*operation
	order []*operation
}

type batchKey struct {
	kind      RecordKind
	home      string
	successor string
}

func (m *Manager) begin(b *batch, kind RecordKind, i int, home, successor string) {
	key := batchKey{kind: kind, home: home, successor: successor}
	op := b.ops[key]
	if op == nil {
		op = &operation{record: Record{Kind: kind, Author: m.cfg.Self.Incarnation, Home: home, Successor: successor}}
		if kind == SuccessorNamed {
			op.record.Home = m.cfg.Self.Incarnation
		}
		if b.ops == nil {
			b.ops = map[batchKey]*operation{}
		}
		b.ops[key] = op
		b.order = append(b.order, op)
	}
	op.shards = append(op.shards, i)
	m.shards[i].op = op
}

func (m *Manager) sendBatch(b *batch) []Action {
	var out []Action
	for _, op := range b.order {
		op.record.Shards = m.refs(op)
		if a, ok := m.send(op); ok {
			out = append(out, a)
		}
	}
	return out
}

// joinSelf appends the join of this entry, and its departure at the end of a drain.
func (m *Manager) joinSelf(now gypsumtide.Millis) []Action {
	if !m.logFresh() || m.departed {
		return nil
	}
	if !m.joined {
		if m.draining && m.joining == nil {
			return nil
		}
		info := m.cfg.Self
		return m.sendOnce(&m.joining, &operation{record: Record{Kind: EntryJoined, Entry: &info}}, now)
	}
	if m.leaving {
		return m.sendOnce(&m.left, &operation{record: Record{Kind: EntryLeft, Author: m.cfg.Self.Incarnation}}, now)
	}
	return nil
}

func (m *Manager) sendOnce(slot **operation, op *operation, now gypsumtide.Millis) []Action {
	if *slot == nil {
		*slot = op
	} else if op = *slot; op.outstanding || now-op.sentAt < m.cfg.RetryInterval {
		return nil
	}
	if a, ok := m.send(op); ok {
		return []Action{a}
	}
	return nil
}

func (m *Manager) fire(sh *local, event string) {
	if err := sh.machine.Fire(event); err != nil {
		m.rejected++
	}
}

// extend prolongs the lease of a shard that this entry is home for.
func (m *Manager) extend(i int, until gypsumtide.Millis) {
	sh := &m.shards[i]
	if m.departed || m.leaving || sh.home.Home != m.cfg.Self.Incarnation || until <= sh.lease {
		return
	}
	switch sh.machine.State() {
	case "stopped":
		sh.lease = until
		if until > m.clock.Now() {
			m.fire(sh, "lease-gained")
			m.publish(i, until)
		}
	case "serving":
		sh.lease = until
		m.publish(i, until)
	case "promising":
		sh.lease = until
	}
}
