// Package submission holds the rules for submission ids and the table of
// finished submissions that makes resubmission idempotent.
package submission

import (
	"errors"
	"fmt"

	"gypsumtide"
)

// ErrAhead means that an id is stamped further ahead than the permitted clock skew.
var ErrAhead = errors.New("submission id is stamped in the future")

// ErrExpired means that an id is older than the retention period.
var ErrExpired = errors.New("submission id is older than the retention period")

// Rules decide from the time stamp whether an id can be admitted.
type Rules struct {
	maxSkew   gypsumtide.Millis
	retention gypsumtide.Millis
}

// NewRules returns rules for a bound on the clock skew between entries and a
// retention period of ids.
func NewRules(maxSkew, retention gypsumtide.Millis) Rules {
	return Rules{maxSkew: maxSkew, retention: retention}
}

// Check returns ErrAhead or ErrExpired if the id cannot be admitted at wall time now.
//
// ErrAhead keeps the freshness rule sound: an id stamped later than a takeover
// plus the skew cannot have been accepted before the takeover.
func (r Rules) Check(id gypsumtide.SubmissionID, now gypsumtide.Millis) error {
	if ahead := id.Stamp() - now; ahead > r.maxSkew {
		return fmt.Errorf("%w: %d ms ahead, at most %d ms allowed", ErrAhead, ahead, r.maxSkew)
	}
	if age := now - id.Stamp(); age > r.retention {
		return fmt.Errorf("%w: %d ms old, kept for %d ms", ErrExpired, age, r.retention)
	}
	return nil
}

// Retention returns the retention period of ids.
func (r Rules) Retention() gypsumtide.Millis { return r.retention }
