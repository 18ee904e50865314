// Package eventlog writes the decision log, one JSON line per decision, and reads it.
// The volume of the log is limited, and a log that nothing reads never delays a
// decision.
package eventlog

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"gypsumtide"
)

// nonRoutineShare is the share of the budget that routine lines may not use.
const nonRoutineShare = 0.5

// maxQueuedLines limits the number of lines that wait for a slow reader.
const maxQueuedLines = 4096

// routineKinds lists the kinds of lines that are dropped first: a request that
// succeeded needs no explanation.
var routineKinds = map[string]bool{"task-placed": true, "run-sent": true, "run-ended": true, "run-returned": true, "job-admitted": true}

// Log writes decision lines within a budget in bytes per second. It implements
// gypsumtide.DecisionLogger.
type Log struct {
	logger logr.Logger
	clock  gypsumtide.Clock
	lines  chan []byte
	out    io.Writer

	mu sync.Mutex
	// The budget is a token bucket: tokens is the number of bytes that may be charged now,
	// and grows by budget per second, up to budget. tokens can be negative, since a line
	// may be longer than the rest of the budget, and since lines of Logger are always
	// charged.
	budget float64
	tokens float64
	// chargedBytes is the total size of the lines charged to the budget, including those
	// that found the queue full.
	chargedBytes float64
	refilledAt   gypsumtide.Millis
	// dropped counts the dropped lines by kind, "backlog" those that found the queue
	// full, and "write-error" the failed writes, each of which may lose several lines.
	dropped map[string]int
	// unreported is set while dropped has changed since a line last included it.
	unreported bool
}

// New returns a Log with a budget in bytes per second. Run writes its lines.
func New(out io.Writer, clock gypsumtide.Clock, budget int) *Log {
	l := &Log{
		clock: clock, out: out, lines: make(chan []byte, maxQueuedLines),
		budget: float64(budget), tokens: float64(budget), refilledAt: clock.Now(), dropped: make(map[string]int),
	}
	l.logger = logr.FromSlogHandler(slog.NewJSONHandler(lineWriter{l}, nil))
	return l
}

// Register adds metrics for the bytes charged to the budget and the lines dropped to set.
func (l *Log) Register(set *metrics.Set) {
	set.NewGauge("gypsumtide_log_bytes", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.chargedBytes
	})
	set.NewGauge("gypsumtide_log_dropped_lines", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		sum := 0
		for _, n := range l.dropped {
			sum += n
		}
		return float64(sum)
	})
}

// WithNode adds the node name and the incarnation of the process to every later line and
// returns l.
func (l *Log) WithNode(node, incarnation string) *Log {
	l.logger = l.logger.WithValues("node", node, "incarnation", incarnation)
	return l
}

// Logger returns the underlying logger. Its lines use up the budget, but are not
// dropped when it is empty.
func (l *Log) Logger() logr.Logger { return l.logger }

// Decision implements gypsumtide.DecisionLogger. It queues a line for Run, or counts it
// as dropped if the budget is used up or the queue is full.
func (l *Log) Decision(kind string, keysAndValues ...any) {
	dropped, ok := l.admit(kind)
	if !ok {
		return
	}
	if dropped != nil {
		keysAndValues = append(keysAndValues, "dropped-so-far", dropped)
	}
	l.logger.Info(kind, keysAndValues...)
}

// admit reports whether the budget permits a line. It also returns the counts of
// dropped lines if they have changed since they were last included in a line. The
// counts are never reset, since the line that includes them may be dropped too.
func (l *Log) admit(kind string) (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.tokens = min(l.budget, l.tokens+l.budget*float64(now-l.refilledAt)/1000)
	l.refilledAt = now
	reserve := 0.0
	if routineKinds[kind] {
		reserve = l.budget * nonRoutineShare
	}
	if l.tokens <= reserve {
		l.countDropped(kind)
		return nil, false
	}
	if !l.unreported {
		return nil, true
	}
	l.unreported = false
	return maps.Clone(l.dropped), true
}

// countDropped counts a dropped line. The caller must hold l.mu.
func (l *Log) countDropped(kind string) {
	l.dropped[kind]++
	l.unreported = true
}

// lineWriter queues the lines that the slog handler has encoded.
type lineWriter struct{ log *Log }

// Write implements io.Writer. It never blocks: a line is dropped if the queue is
// full.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.mu.Lock()
	w.log.tokens -= float64(len(p))
	w.log.chargedBytes += float64(len(p))
	w.log.mu.Unlock()
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case w.log.lines <- line:
	default:
		w.log.mu.Lock()
		w.log.countDropped("backlog")
		w.log.mu.Unlock()
	}
	return len(p), nil
}

// flushInterval is the time for which lines are batched, so that a busy process
// makes few system calls.
const flushInterval gypsumtide.Millis = 50

// Run writes queued lines until ctx is done, then writes the remaining ones and
// returns.
func (l *Log) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			l.flush(l.collectQueued(batch[:0]))
			return ctx.Err()
		case line := <-l.lines:
			batch = append(batch[:0], line...)
		}
		gypsumtide.Sleep(ctx, flushInterval)
		l.flush(l.collectQueued(batch))
	}
}

// collectQueued appends all queued lines to batch.
func (l *Log) collectQueued(batch []byte) []byte {
	for {
		select {
		case line := <-l.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

func (l *Log) flush(batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := l.out.Write(batch); err != nil {
		l.mu.Lock()
		l.countDropped("write-error")
		l.mu.Unlock()
	}
}
