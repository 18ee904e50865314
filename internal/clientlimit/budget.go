package clientlimit

import (
	"cmp"
	"slices"

	"gypsumtide"
)

// phase is what a connection is waiting for.
type phase uint8

const (
	// phaseWaiting is before the first byte of a request.
	phaseWaiting phase = iota
	phaseHead
	phaseBody
	// phaseServing is while the handler runs, except while it reads the body.
	phaseServing
	// phaseSession is after the connection was hijacked.
	phaseSession
)

// Costs in bytes of memory for what has been read.
const (
	// byteCost is the cost of a byte of a head or a body: the buffers, the decoded
	// value, and garbage that is not collected yet.
	byteCost = 3
	// lineCost is added for each line of a head. Short lines took 22 to 40 times their
	// length in measurements, 110 to 200 bytes for a line of five.
	lineCost = 200
)

// Limits of the decisions.
const (
	// lowWaterNumerator and lowWaterDenominator give the share of the budget down to which
	// connections are closed, so that not every read over the budget compares all of them. Above
	// it the budget is short.
	lowWaterNumerator, lowWaterDenominator = 7, 8
	// maxLinesUnderPressure is the number of header lines above which a complete request is
	// refused while the budget is short.
	maxLinesUnderPressure = 128
	// minStall is added to the time without progress when costs are compared, so that the
	// cost decides between connections that have just made progress.
	minStall gypsumtide.Millis = 50
	// minFirstWait, minStallForRoom and minIdleWait are the times after which a connection may
	// be closed for a new one: one that has not sent its first request yet, one whose body or
	// answer has made no progress, and one between two requests.
	minFirstWait    gypsumtide.Millis = 200
	minStallForRoom gypsumtide.Millis = 1000
	minIdleWait     gypsumtide.Millis = 1000
	// roomDivisor is the share of the connections that are closed at once to make room.
	roomDivisor = 16
	// roomRetry is the time after an unsuccessful search for connections to close.
	roomRetry gypsumtide.Millis = 20
)

// reason says why a client is turned away.
type reason string

const (
	// reasonConnections means that the listener has too many connections.
	reasonConnections reason = "connections"
	// reasonMemory means that the budget for bytes that are not a job yet is used up.
	reasonMemory reason = "memory"
	// reasonLines means that a head has many lines while the budget is short.
	reasonLines reason = "header-lines"
	// reasonSlowBody means that a body took too long.
	reasonSlowBody reason = "slow-body"
	// reasonUnread means that the client did not read its answer.
	reasonUnread reason = "unread-answer"
)

// reasons lists all reasons.
var reasons = []reason{reasonConnections, reasonMemory, reasonLines, reasonSlowBody, reasonUnread}

// holding is what a connection holds. Its fields are those of the decisions.
type holding struct {
	// number is higher for newer connections.
	number uint64
	phase  phase
	// served is set once a request has reached the handler.
	served bool
	// since is the time at which the phase began, progress that of the last byte.
	since, progress gypsumtide.Millis
	// bytes were read in the present phase.
	bytes int64
	cost  int64
	// kept is the part of the cost that remains until the handler returns.
	kept int64
	// largeReceive and largeSend are the sizes of the buffers that were enlarged, otherwise 0.
	largeReceive, largeSend int64
	// write is the number of the write in progress, or 0 if there is none. writeSince is the
	// time at which it was noticed.
	write      uint32
	writeSince gypsumtide.Millis
	// conn is closed if the decision is to close the connection.
	conn *Conn
}

// poolLimits bound the connections of a listener, their cost in bytes and their socket buffers.
type poolLimits struct {
	connections int
	// waiting is the number of connections that the process has not accepted yet.
	waiting       int
	cost          int64
	receive, send bufferLimits
}

// budget holds the connections of a listener and decides which ones are closed. It is not safe
// for concurrent use.
type budget struct {
	limits   poolLimits
	number   uint64
	holdings map[*holding]struct{}
	cost     int64
	receive  bufferBudget
	send     bufferBudget
	// nextSearch is the earliest time of the next search for connections to close for room.
	nextSearch gypsumtide.Millis
}

func newBudget(l poolLimits) *budget {
	return &budget{limits: l, holdings: make(map[*holding]struct{}), receive: bufferBudget{limits: l.receive}, send: bufferBudget{limits: l.send}}
}

// open adds a connection. If there is no room for it, it returns the connections that are to
// be closed for it, or nil and false if the new one is to be closed.
func (b *budget) open(now gypsumtide.Millis, conn *Conn) (h *holding, closed []*holding, ok bool) {
	if len(b.holdings) >= b.limits.connections {
		if closed = b.makeRoom(now); len(closed) == 0 {
			return nil, nil, false
		}
	}
	b.number++
	h = &holding{number: b.number, since: now, progress: now, conn: conn}
	b.holdings[h] = struct{}{}
	return h, closed, true
}

// makeRoom removes connections that have waited long: first those that have never sent a
// request, then those whose body has stopped, then those between two requests, then those that do
// not read their answer, and of each kind the one that has waited longest.
func (b *budget) makeRoom(now gypsumtide.Millis) []*holding {
	if now < b.nextSearch {
		return nil
	}
	var waiting []*holding
	for h := range b.holdings {
		if h.roomOrder(now) < keepForRoom {
			waiting = append(waiting, h)
		}
	}
	if len(waiting) == 0 {
		b.nextSearch = now + roomRetry
		return nil
	}
	slices.SortFunc(waiting, func(x, y *holding) int {
		return cmp.Or(cmp.Compare(x.roomOrder(now), y.roomOrder(now)), cmp.Compare(x.progress, y.progress), cmp.Compare(y.number, x.number))
	})
	waiting = waiting[:min(len(waiting), max(1, b.limits.connections/roomDivisor))]
	for _, h := range waiting {
		b.remove(h)
	}
	return waiting
}

// keepForRoom is the roomOrder of connections that are not closed for a new one.
const keepForRoom = 4

// roomOrder returns the rank in which the connection may be closed for a new one.
func (h *holding) roomOrder(now gypsumtide.Millis) int {
	switch {
	case h.phase <= phaseHead && !h.served && now-h.since >= minFirstWait:
		return 0
	case h.phase == phaseBody && now-h.progress >= minStallForRoom:
		return 1
	case h.phase == phaseWaiting && h.served && now-h.since >= minIdleWait:
		return 2
	case h.unreadFor(now) >= minStallForRoom:
		return 3
	}
	return keepForRoom
}

// observeWrite notes the number of writes of a connection's server, which is odd while one is in
// progress. Sessions limit the time of their writes themselves.
func (h *holding) observeWrite(now gypsumtide.Millis, writes uint32) {
	switch {
	case writes%2 == 0 || h.phase == phaseSession:
		h.write = 0
	case h.write != writes:
		h.write, h.writeSince = writes, now
	}
}

// unreadFor returns the time for which the client has not read enough of an answer for the next
// part of it to be sent.
func (h *holding) unreadFor(now gypsumtide.Millis) gypsumtide.Millis {
	if h.write == 0 {
		return 0
	}
	return now - h.writeSince
}

// remove removes a connection. It does nothing if that has happened already.
func (b *budget) remove(h *holding) {
	if _, ok := b.holdings[h]; ok {
		delete(b.holdings, h)
		b.cost -= h.cost
		h.cost = 0
		b.receive.release(&h.largeReceive)
		b.send.release(&h.largeSend)
	}
}

// enlargeReceive returns the size of the receive buffer of a connection on which n bytes are about
// to arrive, or 0 if the present size is to stay.
func (b *budget) enlargeReceive(h *holding, n int64) int64 {
	if _, ok := b.holdings[h]; !ok {
		return 0
	}
	return b.receive.enlarge(&h.largeReceive, n)
}

// enlargeSend returns the size of the send buffer of a connection on which n bytes are about to be
// sent, or 0 if the present size is to stay.
func (b *budget) enlargeSend(h *holding, n int64) int64 {
	if _, ok := b.holdings[h]; !ok {
		return 0
	}
	return b.send.enlarge(&h.largeSend, n)
}

// read accounts for bytes that were read, with the number of line ends among them. It returns
// the connections that are to be closed, which may include this one.
func (b *budget) read(now gypsumtide.Millis, h *holding, n, lines int64) []*holding {
	if _, ok := b.holdings[h]; !ok {
		return nil
	}
	h.progress = now
	if h.phase == phaseWaiting {
		h.phase, h.since, h.bytes = phaseHead, now, 0
	}
	h.bytes += n
	switch h.phase {
	case phaseHead:
		b.add(h, n*byteCost+lines*lineCost)
	case phaseBody:
		b.add(h, n*byteCost)
	}
	return b.shed(now)
}

func (b *budget) add(h *holding, cost int64) {
	h.cost += cost
	b.cost += cost
}

// serve marks the head as parsed. What is left of it has the given cost.
func (b *budget) serve(now gypsumtide.Millis, h *holding, kept int64) {
	h.served, h.kept = true, kept
	b.enter(now, h, phaseServing)
}

// enter changes the phase of a connection. Only the kept cost of the request remains, or nothing
// if there is no request in progress.
func (b *budget) enter(now gypsumtide.Millis, h *holding, p phase) {
	if _, ok := b.holdings[h]; !ok {
		return
	}
	if p == phaseWaiting || p == phaseSession {
		h.kept = 0
	}
	h.phase, h.since, h.progress, h.bytes = p, now, now, 0
	b.add(h, h.kept-h.cost)
}

// endBody marks the body as read. Its cost remains until it is decoded.
func (b *budget) endBody(h *holding) {
	if h.phase == phaseBody {
		h.phase = phaseServing
	}
}

// refuse returns a reason if a complete request with the given number of header lines has to be
// refused.
func (b *budget) refuse(lines int) (reason, bool) {
	switch {
	case b.cost > b.limits.cost:
		return reasonMemory, true
	case b.cost > b.lowWater() && lines > maxLinesUnderPressure:
		return reasonLines, true
	}
	return "", false
}

func (b *budget) lowWater() int64 { return b.limits.cost / lowWaterDenominator * lowWaterNumerator }

// shed removes connections with incomplete requests while the cost is above the budget: first
// those with the highest cost times the time without progress, the newest of equals. One is
// left, so that a single request is always served.
func (b *budget) shed(now gypsumtide.Millis) []*holding {
	if b.cost <= b.limits.cost {
		return nil
	}
	var open []*holding
	for h := range b.holdings {
		if h.cost > 0 && (h.phase == phaseHead || h.phase == phaseBody) {
			open = append(open, h)
		}
	}
	score := func(h *holding) int64 { return h.cost * int64(now-h.progress+minStall) }
	slices.SortFunc(open, func(x, y *holding) int {
		return cmp.Or(cmp.Compare(score(y), score(x)), cmp.Compare(y.number, x.number))
	})
	n := 0
	for ; n < len(open)-1 && b.cost > b.lowWater(); n++ {
		b.remove(open[n])
	}
	return open[:n]
}

// removeSlow removes the connections whose body takes too long.
func (b *budget) removeSlow(now gypsumtide.Millis) []*holding {
	return b.removeWhere(func(h *holding) bool {
		return h.phase == phaseBody && now-h.since > bodyGrace+gypsumtide.Millis(h.bytes*1000/bodyBytesPerSecond)
	})
}

// removeUnread removes the connections of clients that have stopped to read an answer.
func (b *budget) removeUnread(now gypsumtide.Millis) []*holding {
	return b.removeWhere(func(h *holding) bool { return h.unreadFor(now) > unreadTimeout })
}

// removeWhere removes the connections for which remove returns true.
func (b *budget) removeWhere(remove func(h *holding) bool) []*holding {
	var removed []*holding
	for h := range b.holdings {
		if remove(h) {
			removed = append(removed, h)
		}
	}
	for _, h := range removed {
		b.remove(h)
	}
	return removed
}
