package gypsumtide

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a duration or a point in time, in milliseconds.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to whole milliseconds, truncated towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock provides monotonic and wall-clock time. Leases and the age of a session's
// echoes (see wire.Frame) are measured with Now only, because the wall clock may be
// set back.
type Clock interface {
	// Now returns monotonic time since an arbitrary starting point.
	Now() Millis
	// Wall returns the Unix time.
	Wall() Millis
}

// SystemClock reads the clocks of the operating system.
type SystemClock struct {
	start time.Time
}

// NewSystemClock returns a Clock whose monotonic time starts at 1, so that 0
// can stand for "never".
func NewSystemClock() *SystemClock {
	return &SystemClock{start: time.Now().Add(-time.Millisecond)}
}

// Now implements Clock.
func (c *SystemClock) Now() Millis { return FromDuration(time.Since(c.start)) }

// Wall implements Clock.
func (c *SystemClock) Wall() Millis { return Millis(time.Now().UnixMilli()) }

// BootClock is a SystemClock whose monotonic time also advances while the host is
// suspended, so that a resumed process can detect the gap.
type BootClock struct {
	SystemClock
}

// NewBootClock returns a Clock whose monotonic time is the time since boot, or that
// of a SystemClock where the operating system does not provide it.
func NewBootClock() *BootClock { return &BootClock{SystemClock: *NewSystemClock()} }

// Now implements Clock.
func (c *BootClock) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return c.SystemClock.Now()
	}
	return FromDuration(time.Duration(ts.Nano()))
}

// Sleep waits for d. It returns false if ctx is done first.
func Sleep(ctx context.Context, d Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
