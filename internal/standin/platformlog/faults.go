package platformlog

import (
	"errors"
	"fmt"
)

// Faults are the faults in effect.
type Faults struct {
	// Down answers every request with status 503, without effect.
	Down bool `json:"down"`
	// SlowMillis delays every request.
	SlowMillis int64 `json:"slow-ms"`
	// LoseAnswers is the ratio of appends whose connection is cut after the
	// write took effect.
	LoseAnswers float64 `json:"lose-answers"`
	// Hang holds every request until it is switched off. A held append then
	// takes effect, even if its sender is gone.
	Hang bool `json:"hang"`
}

// Check returns every error in the faults.
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

// SetFaults replaces the faults. Open long polls see the change at once.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return fmt.Errorf("platformlog: set faults: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.switched)
	s.switched = make(chan struct{})
	for _, st := range s.streams {
		st.wake()
	}
	return nil
}
