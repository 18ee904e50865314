package clientlimit

import "context"

// FrameCounter counts what has been read of a session's frame against the budget of the listener.
// A nil FrameCounter counts nothing.
type FrameCounter struct{ conn *Conn }

// Frames returns the FrameCounter of a session that is opened by the request with the given
// context, or nil if the request was not served through a Pool.
func Frames(ctx context.Context) *FrameCounter {
	c := connOf(ctx.Value(connKey{}))
	if c == nil {
		return nil
	}
	return &FrameCounter{conn: c}
}

// Grow counts n more bytes of the frame. It returns false if there is no room for them beside
// others.
func (f *FrameCounter) Grow(n int64) bool {
	if f == nil {
		return true
	}
	p := f.conn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	ok := p.budget.growFrame(f.conn.holding, n)
	if !ok {
		p.count(reasonMemory, 1)
	}
	return ok
}

// End ends the use of the bytes of the frame.
func (f *FrameCounter) End() {
	if f == nil {
		return
	}
	p := f.conn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.endFrame(f.conn.holding)
}

// growFrame adds n bytes of a frame to what a session holds, unless they exceed the budget. One
// session alone may always read its frame.
func (b *budget) growFrame(h *holding, n int64) bool {
	if _, ok := b.holdings[h]; !ok {
		return false
	}
	cost := n * byteCost
	if b.cost > h.cost && b.cost+cost > b.limits.cost {
		return false
	}
	b.add(h, cost)
	return true
}

// endFrame removes the bytes of a frame from what a session holds.
func (b *budget) endFrame(h *holding) {
	if _, ok := b.holdings[h]; ok && h.phase == phaseSession {
		b.add(h, -h.cost)
	}
}
