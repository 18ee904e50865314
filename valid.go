package gypsumtide

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// Limits of values received from other processes. Values within them can be added up
// over all workers and tasks of a deployment without an overflow.
const (
	// maxSizeField is the largest value of a field of a Size.
	maxSizeField = 1 << 40
	// MaxTasks is the largest number of tasks of a job.
	MaxTasks = 10_000
	// MaxDuration is the longest duration that is accepted, about a year.
	MaxDuration Millis = 366 * 24 * 3600 * 1000
	// MaxTime is the latest time that is accepted on any clock, the end of the year 9999 in
	// Unix time.
	MaxTime Millis = 253_402_300_799_999
	// MaxCounter is the largest accepted value of a counter of another process.
	MaxCounter = 1 << 53
	// MaxCheckpointBytes is the size of the longest checkpoint that is kept.
	MaxCheckpointBytes = 4096
	// maxPort is the largest TCP port.
	maxPort = 1<<16 - 1
	// invalidHostCharacters would make the host of an address another part of a URL.
	invalidHostCharacters = "/?#@\\ \t\r\n\x00"
)

// InvalidValueError means that a decoded value lies outside the permitted range.
type InvalidValueError struct {
	Field string
	Value any
}

// Error implements error.
func (e *InvalidValueError) Error() string { return fmt.Sprintf("invalid %s: %v", e.Field, e.Value) }

// validateRange returns an *InvalidValueError unless value is from 0 to limit.
func validateRange[N int | int64 | Millis](field string, value, limit N) error {
	if value < 0 || value > limit {
		return &InvalidValueError{Field: field, Value: value}
	}
	return nil
}

// ValidateDuration returns an *InvalidValueError unless d is from 0 to MaxDuration.
func ValidateDuration(field string, d Millis) error { return validateRange(field, d, MaxDuration) }

// ValidateTime returns an *InvalidValueError unless t is from 0 to MaxTime.
func ValidateTime(field string, t Millis) error { return validateRange(field, t, MaxTime) }

// ValidateCounter returns an *InvalidValueError if n is greater than MaxCounter.
func ValidateCounter(field string, n uint64) error {
	if n > MaxCounter {
		return &InvalidValueError{Field: field, Value: n}
	}
	return nil
}

// ValidateAddress returns an *InvalidValueError unless address has the form host:port
// with a port from 1 to 65535.
func ValidateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err == nil && host != "" && !strings.ContainsAny(host, invalidHostCharacters) {
		if n, err := strconv.ParseUint(port, 10, 32); err == nil && n > 0 && n <= maxPort {
			return nil
		}
	}
	return &InvalidValueError{Field: "address", Value: strconv.Quote(address)}
}

// Validate returns an *InvalidValueError for a size with a field that is negative or so
// large that sums of sizes could overflow.
func (s Size) Validate() error {
	for _, v := range []int64{s.Processors, s.Memory, s.Accelerators} {
		if err := validateRange("size", v, maxSizeField); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an *InvalidValueError unless the end has a number and a known kind.
func (e *RunEnd) Validate() error {
	if e.Number == 0 {
		return &InvalidValueError{Field: "number of an end", Value: e.Number}
	}
	if err := ValidateCounter("number of an end", e.Number); err != nil {
		return err
	}
	return e.Kind.Validate()
}

// Validate returns an *InvalidValueError for an empty or unknown kind.
func (k EndKind) Validate() error {
	switch k {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndLost, EndNotStarted:
		return nil
	}
	return &InvalidValueError{Field: "kind of an end", Value: strconv.Quote(string(k))}
}

// Validate returns an *InvalidValueError unless the description names a worker that can
// be used.
func (i *WorkerInfo) Validate() error {
	switch {
	case i.Incarnation.ID == "":
		return &InvalidValueError{Field: "worker id", Value: strconv.Quote(i.Incarnation.ID)}
	case i.Service == "":
		return &InvalidValueError{Field: "service", Value: strconv.Quote(i.Service)}
	case i.Capacity.Processors == 0:
		return &InvalidValueError{Field: "capacity", Value: i.Capacity.Processors}
	}
	for _, err := range []error{
		i.Capacity.Validate(), ValidateAddress(i.Address),
		ValidateTime("start time", i.Incarnation.StartTime), ValidateCounter("sequence", i.Seq),
	} {
		if err != nil {
			return err
		}
	}
	if i.Remaining != nil {
		return ValidateDuration("remaining time", *i.Remaining)
	}
	return nil
}

// ValidateSteps returns an *InvalidValueError unless the steps form a job: a step depends
// only on earlier ones, and there are from 1 to MaxTasks tasks.
func ValidateSteps(steps []JobStep) error {
	tasks := 0
	for i := range steps {
		if err := steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		// No count is greater than MaxTasks, so the sum cannot overflow.
		tasks += steps[i].Tasks
	}
	if tasks == 0 || tasks > MaxTasks {
		return &InvalidValueError{Field: "number of tasks", Value: tasks}
	}
	return nil
}

// validate checks step i of a job.
func (s *JobStep) validate(i int) error {
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= i {
			return &InvalidValueError{Field: "dependency", Value: dependency}
		}
	}
	for _, err := range []error{
		validateRange("number of tasks", s.Tasks, MaxTasks), s.Size.Validate(),
		validateRange("estimate", s.Estimate, MaxDuration), validateRange("tasks per worker", s.MaxPerWorker, math.MaxInt),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}
