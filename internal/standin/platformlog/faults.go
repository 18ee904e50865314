package platformlog

import (
	"errors"
	"fmt"
)

// Faults selects the faults that the server injects.
type Faults struct {
	// Down makes the server respond to every valid append and read with status 503 and
	// write nothing. It takes precedence over Hang.
	Down bool `json:"down"`
	// SlowMillis delays every append and read by this number of milliseconds.
	SlowMillis int64 `json:"slow-ms"`
	// LoseAnswers is the probability with which the connection of an append is closed
	// without a response after the record was written.
	LoseAnswers float64 `json:"lose-answers"`
	// Hang blocks every append and read until the fault is switched off. Then the blocked
	// appends are handled as usual, even if the client has disconnected.
	Hang bool `json:"hang"`
}

// Check returns all validation errors, joined.
func (f Faults) Check() error {
	var errs []error
	if f.SlowMillis < 0 || f.SlowMillis > 600_000 {
		errs = append(errs, fmt.Errorf("slow-ms: %d is outside 0 to 600000", f.SlowMillis))
	}
	if !(f.LoseAnswers >= 0 && f.LoseAnswers <= 1) {
		errs = append(errs, fmt.Errorf("lose-answers: %v is outside 0 to 1", f.LoseAnswers))
	}
	return errors.Join(errs...)
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in effect. The change also applies to requests that
// are blocked and to open long polls, but a delay that has begun keeps its length.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return fmt.Errorf("platformlog: set faults: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	for _, st := range s.streams {
		st.notify()
	}
	return nil
}
