package shard

import (
	"gypsumtide"
)

// operation is an append whose effect is not known yet. While an attempt may still
// take effect, the entry acts as if it could do so at any moment: a claimer sends
// no acknowledgements for the shard, and a home that names a successor or hands
// over ignores received ones.
type operation struct {
	record Record
	// shards are the indexes of the shards that still wait for the operation.
	shards []int
	// sentAt is when appendAction returned the last attempt.
	sentAt gypsumtide.Millis
	// inFlight means that the result of the last attempt has not been reported.
	inFlight bool
	// outcomeUnknown means that an attempt may still take effect later.
	outcomeUnknown bool
	// failed means that the last attempt will never take effect.
	failed bool
	// appended means that the log has confirmed the last attempt. offset is the
	// offset of the record, and appendedAt the time of the confirmation.
	appended   bool
	offset     uint64
	appendedAt gypsumtide.Millis
}

// isTakeover reports whether the operation makes self, its author, the home of
// shards.
func (op *operation) isTakeover(self string) bool {
	return op.record.Kind == Claim && op.record.Home == self
}

// appendAction returns the action for the next attempt of an operation.
func (m *Manager) appendAction(op *operation) (Action, bool) {
	op.record.Time = m.clock.Wall()
	data, err := op.record.Encode()
	if err != nil {
		// The manager sets every field itself, so this is a programming error.
		m.internalErrors++
		return Action{}, false
	}
	m.lastAppendID++
	op.sentAt = m.clock.Now()
	op.inFlight, op.failed, op.appended = true, false, false
	m.pendingAppends[m.lastAppendID] = op
	return Action{Kind: ActionAppend, ID: m.lastAppendID, Record: data}, true
}

// endFailedOperation ends a shard operation if it can no longer take effect. An
// operation that took effect has been ended by syncState.
func (m *Manager) endFailedOperation(op *operation) {
	if len(op.shards) == 0 || op.inFlight {
		return
	}
	// A record that was read back from the log without taking effect is invalid.
	// The cause, which is a newer record of the shard or the departure of the author
	// or home, is permanent, so the other attempts are invalid as well. The state may
	// skip a repeated record and never see its offset, so a log read sent after the
	// append also proves that the record was read.
	invalid := op.appended && (m.nextOffset > op.offset || m.logReadAt > op.appendedAt)
	if !invalid && (op.outcomeUnknown || !op.failed) {
		return
	}
	for _, i := range op.shards {
		sh := &m.shards[i]
		sh.op = nil
		sh.backoffUntil = m.clock.Now() + m.cfg.RetryInterval/2
		switch sh.machine.State() {
		case "claiming":
			m.fireEvent(sh, "claim-failed")
		case "handing-over":
			m.fireEvent(sh, "handover-failed")
		}
	}
	op.shards = nil
}

// detachOperation removes a shard from its operation, which took effect or became
// invalid because of a newer record.
func (m *Manager) detachOperation(i int) {
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

// retryOperations repeats the appends of shard operations whose effect is not known, and
// ends the operations that can no longer take effect. The base offsets in a record keep
// it from taking effect twice.
func (m *Manager) retryOperations(now gypsumtide.Millis) []Action {
	var out []Action
	for i := range m.shards {
		op := m.shards[i].op
		if op == nil || op.inFlight || len(op.shards) == 0 || op.shards[0] != i {
			continue
		}
		m.endFailedOperation(op)
		if len(op.shards) == 0 || op.appended || !m.logAvailable() || now-op.sentAt < m.cfg.RetryInterval {
			continue
		}
		op.record.Shards = m.shardRefs(op)
		if a, ok := m.appendAction(op); ok {
			out = append(out, a)
		}
	}
	return out
}

// shardRefs returns the references to the shards of an operation, with the offsets
// of their last valid records as base offsets.
func (m *Manager) shardRefs(op *operation) []ShardRef {
	refs := make([]ShardRef, 0, len(op.shards))
	for _, i := range op.shards {
		ownership := m.shards[i].ownership
		epoch := ownership.Epoch
		if op.record.Kind == Claim {
			epoch++
		}
		settled := op.record.Kind == Claim && ownership.Epoch > 0 && m.shards[i].settledEpoch == ownership.Epoch
		refs = append(refs, ShardRef{Shard: gypsumtide.ShardID(i), Epoch: epoch, BaseOffset: ownership.Offset, Settled: settled})
	}
	return refs
}

// operationBatch groups the shard operations of one Tick, so that one record can
// cover many shards.
type operationBatch struct {
	ops   map[operationKey]*operation
	order []*operation
}

type operationKey struct {
	kind      RecordKind
	home      string
	successor string
}

// startOperation adds a shard to the operation of the batch that has the same kind,
// home and successor.
func (m *Manager) startOperation(b *operationBatch, kind RecordKind, i int, home, successor string) {
	key := operationKey{kind: kind, home: home, successor: successor}
	op := b.ops[key]
	if op == nil {
		op = &operation{record: Record{Kind: kind, Author: m.cfg.Self.Incarnation, Home: home, Successor: successor}}
		if kind == SuccessorNamed {
			op.record.Home = m.cfg.Self.Incarnation
		}
		if b.ops == nil {
			b.ops = map[operationKey]*operation{}
		}
		b.ops[key] = op
		b.order = append(b.order, op)
	}
	op.shards = append(op.shards, i)
	m.shards[i].op = op
}

func (m *Manager) sendBatch(b *operationBatch) []Action {
	var out []Action
	for _, op := range b.order {
		op.record.Shards = m.shardRefs(op)
		if a, ok := m.appendAction(op); ok {
			out = append(out, a)
		}
	}
	return out
}

// appendOwnMembership appends the join of this entry and, once its drain is
// finished, its departure.
func (m *Manager) appendOwnMembership(now gypsumtide.Millis) []Action {
	if !m.logAvailable() || m.departed {
		return nil
	}
	if !m.joined {
		if m.draining && m.joinOp == nil {
			return nil
		}
		info := m.cfg.Self
		return m.sendOrRetry(&m.joinOp, &operation{record: Record{Kind: EntryJoined, Entry: &info}}, now)
	}
	if m.leaving {
		return m.sendOrRetry(&m.leaveOp, &operation{record: Record{Kind: EntryLeft, Author: m.cfg.Self.Incarnation}}, now)
	}
	return nil
}

// sendOrRetry appends the record of op and stores op in slot. If slot already holds
// an operation, it repeats that one once RetryInterval is over.
func (m *Manager) sendOrRetry(slot **operation, op *operation, now gypsumtide.Millis) []Action {
	if *slot == nil {
		*slot = op
	} else if op = *slot; op.inFlight || now-op.sentAt < m.cfg.RetryInterval {
		return nil
	}
	if a, ok := m.appendAction(op); ok {
		return []Action{a}
	}
	return nil
}

// fireEvent fires an event of the state chart. An event that the chart rejects is a
// programming error.
func (m *Manager) fireEvent(sh *localShard, event string) {
	if err := sh.machine.Fire(event); err != nil {
		m.internalErrors++
	}
}

// extendLease extends the lease of a shard, unless this entry is not its home, is handing
// it over, is leaving or has departed.
func (m *Manager) extendLease(i int, until gypsumtide.Millis) {
	sh := &m.shards[i]
	if m.departed || m.leaving || sh.ownership.Home != m.cfg.Self.Incarnation || until <= sh.leaseUntil {
		return
	}
	switch sh.machine.State() {
	case "stopped":
		sh.leaseUntil = until
		if until > m.clock.Now() {
			m.fireEvent(sh, "lease-gained")
			m.publishLease(i, until)
		}
	case "serving":
		sh.leaseUntil = until
		m.publishLease(i, until)
	case "promising":
		// stepUnsettled publishes the lease once the earlier homes are settled.
		sh.leaseUntil = until
	}
}
