// Package eventlog writes decision lines as JSON. The volume is bounded, and a
// reader that has stopped never delays a decision.
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

// routineReserve is the part of the budget that routine lines leave to others.
const routineReserve = 0.5

// backlogLines bounds the lines that wait for a slow reader.
const backlogLines = 4096

// routine lists the kinds that are dropped first, since a request that went
// well needs no explanation.
var routine = map[string]bool{"task-placed": true, "run-sent": true, "run-ended": true, "job-admitted": true}

// Log writes decision lines with a budget in bytes a second.
type Log struct {
	logger logr.Logger
	clock  gypsumtide.Clock
	lines  chan []byte
	out    io.Writer

	mu      sync.Mutex
	budget  float64
	tokens  float64
	written float64
	filled  gypsumtide.Millis
	dropped map[string]int
	// untold is set while a count has changed since the last line that told it.
	untold bool
}

// New returns a Log with a budget in bytes a second. Run writes its lines.
func New(out io.Writer, clock gypsumtide.Clock, budget int) *Log {
	l := &Log{
		clock: clock, out: out, lines: make(chan []byte, backlogLines),
		budget: float64(budget), tokens: float64(budget), filled: clock.Now(), dropped: make(map[string]int),
	}
	l.logger = logr.FromSlogHandler(slog.NewJSONHandler(lineWriter{l}, nil))
	return l
}

// Register adds the bytes written and the lines dropped to set.
func (l *Log) Register(set *metrics.Set) {
	set.NewGauge("gypsumtide_log_bytes", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.written
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

// WithNode adds the name of the process to every line.
func (l *Log) WithNode(node, incarnation string) *Log {
	l.logger = l.logger.WithValues("node", node, "incarnation", incarnation)
	return l
}

// Logger returns the logger behind the lines, without their budget.
func (l *Log) Logger() logr.Logger { return l.logger }

// Decision writes a line, or counts it as dropped if the budget is used up.
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

// admit reports whether the budget permits a line. It returns the counts of
// dropped lines if they have changed; they never go back to zero, since the line
// that tells them may be dropped too.
func (l *Log) admit(kind string) (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.tokens = min(l.budget, l.tokens+l.budget*float64(now-l.filled)/1000)
	l.filled = now
	least := 0.0
	if routine[kind] {
		least = l.budget * routineReserve
	}
	if l.tokens <= least {
		l.drop(kind)
		return nil, false
	}
	if !l.untold {
		return nil, true
	}
	l.untold = false
	return maps.Clone(l.dropped), true
}

// drop counts a dropped line. The caller holds the lock.
func (l *Log) drop(kind string) {
	l.dropped[kind]++
	l.untold = true
}

// lineWriter queues the lines that the handler has encoded.
type lineWriter struct{ log *Log }

// Write implements io.Writer. It never blocks.
func (w lineWriter) Write(p []byte) (int, error) {
	w.log.mu.Lock()
	w.log.tokens -= float64(len(p))
	w.log.written += float64(len(p))
	w.log.mu.Unlock()
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case w.log.lines <- line:
	default:
		w.log.mu.Lock()
		w.log.drop("backlog")
		w.log.mu.Unlock()
	}
	return len(p), nil
}

// flushInterval collects lines, so that a busy process makes few system calls.
const flushInterval gypsumtide.Millis = 50

// Run writes lines until ctx is done, and then those that are left.
func (l *Log) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			l.write(l.collect(batch[:0]))
			return ctx.Err()
		case line := <-l.lines:
			batch = append(batch[:0], line...)
		}
		gypsumtide.Sleep(ctx, flushInterval)
		l.write(l.collect(batch))
	}
}

func (l *Log) collect(batch []byte) []byte {
	for {
		select {
		case line := <-l.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

func (l *Log) write(batch []byte) {
	if len(batch) == 0 {
		return
	}
	if _, err := l.out.Write(batch); err != nil {
		l.mu.Lock()
		l.drop("write-error")
		l.mu.Unlock()
	}
}
