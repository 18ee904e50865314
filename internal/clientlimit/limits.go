// Package clientlimit keeps clients from exhausting the memory and the descriptors of a
// process. It bounds the connections of each listener, the bytes that have been read on them
// and are not a job yet, and the time that a request may take to arrive.
package clientlimit

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"gypsumtide"
)

// Limits are those of the machine that a process runs on.
type Limits struct {
	// MemoryMb is the memory in MiB. 0 means DefaultMemoryMb.
	MemoryMb int
	// MaxFds is the number of descriptors that the process may open. 0 means the limit that
	// the operating system has set for the process, which also bounds other values.
	MaxFds int
}

// DefaultMemoryMb is the memory of the smallest machine that entries run on.
const DefaultMemoryMb = 184

// Smallest limits with which a process can serve.
const (
	MinMemoryMb = 32
	MinMaxFds   = 128
)

// Limits of a request.
const (
	// MaxHeadBytes is the operator's limit of a head. net/http allows 4,096 bytes more.
	MaxHeadBytes = 16384
	// HeadTimeout is the operator's limit of the time for a head.
	HeadTimeout = 3 * time.Second
	// bodyGrace and bodyBytesPerSecond limit the time for a body: bodyGrace, which is the
	// operator's limit of the time for which a connection may be idle, and a second for each
	// bodyBytesPerSecond that have arrived.
	bodyGrace          gypsumtide.Millis = 15_000
	bodyBytesPerSecond                   = 16 << 10
	// unreadTimeout limits the time in which one part of an answer is written. It is the
	// operator's limit of the time for which a connection may be idle.
	unreadTimeout gypsumtide.Millis = 15_000
)

const (
	// goHeapShare is the share of the memory above which the garbage collector runs without
	// regard to its cost, so that the garbage of parsed heads is collected in time. With about
	// 10 MB of code the process stays below half of 184 MB.
	goHeapShare = 0.42
	// budgetShare is the share of the memory for bytes that are not a job yet.
	budgetShare = 0.15
	// initialReceiveShare is the share of the memory for the receive buffers with which
	// connections are accepted, largeReceiveShare that for larger ones. Their bytes have
	// arrived at the machine and were not read yet.
	initialReceiveShare = 0.125
	largeReceiveShare   = 0.08
	// initialSendShare and largeSendShare are the same for answers that were written and not
	// sent yet.
	initialSendShare = 0.05
	largeSendShare   = 0.04
	// connectionsShare and connectionBytes bound the connections by the memory: a
	// connection with a request in progress takes 12 to 24 KB.
	connectionsShare = 0.5
	connectionBytes  = 24 << 10
	// The process keeps fdReserve descriptors, and one of fdReserveDivisor, for the
	// connections that it opens itself: to the store, to workers and to other entries.
	fdReserve        = 64
	fdReserveDivisor = 8
)

// withDefaults returns the limits that apply.
func (l Limits) withDefaults() Limits {
	if l.MemoryMb == 0 {
		l.MemoryMb = DefaultMemoryMb
	}
	system := math.MaxInt32
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && r.Cur < math.MaxInt32 {
		system = int(r.Cur)
	}
	if l.MaxFds == 0 || l.MaxFds > system {
		l.MaxFds = system
	}
	return l
}

func (l Limits) memory() float64 { return float64(l.MemoryMb) * (1 << 20) }

// SetMemoryLimit sets the soft limit of the Go heap if the memory is known. It applies to the
// whole process. Without a known memory a limit could slow down a process that has more.
func (l Limits) SetMemoryLimit() {
	if l.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(goHeapShare * l.memory()))
	}
}

// Share is the part of the limits of a process that a listener may use.
type Share struct{ Connections, Bytes float64 }

// Shares of the listeners. Those of a process add up to 1 at most.
var (
	// ShareAll is for a process with one listener.
	ShareAll = Share{Connections: 1, Bytes: 1}
	// ShareClients is for the listener of callers at an entry and of workers at an agent.
	ShareClients = Share{Connections: 0.6, Bytes: 0.5}
	// ShareSessions is for the protocol between processes.
	ShareSessions = Share{Connections: 0.3, Bytes: 0.25}
	// ShareProbes is for the readiness probe and for the metrics, each.
	ShareProbes = Share{Connections: 0.05, Bytes: 0.125}
)

// minConnections is the smallest limit of the connections of a listener.
const minConnections = 4

// The queue of connections that the process has not accepted yet has one place for each
// waitingDivisor connections that the listener may have, and at least minWaiting.
const (
	waitingDivisor = 2
	minWaiting     = 16
)

// pool returns the limits of a listener.
func (l Limits) pool(s Share) poolLimits {
	l = l.withDefaults()
	total := min(float64(l.MaxFds)*(1-1.0/fdReserveDivisor)-fdReserve, connectionsShare*l.memory()/connectionBytes)
	connections := max(minConnections, int(s.Connections*total))
	waiting := max(minWaiting, connections/waitingDivisor)
	buffers := func(initialShare, largeShare float64) bufferLimits {
		return bufferLimits{
			initial: int64(s.Connections*initialShare*l.memory()) / int64(connections+waiting),
			large:   int64(s.Bytes * largeShare * l.memory()),
		}
	}
	return poolLimits{
		connections: connections,
		waiting:     waiting,
		cost:        int64(s.Bytes * budgetShare * l.memory()),
		receive:     buffers(initialReceiveShare, largeReceiveShare),
		send:        buffers(initialSendShare, largeSendShare),
	}
}
