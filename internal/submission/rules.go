// Package submission holds the rules for submission ids and the table of
// finished submissions that makes resubmission idempotent.
package submission

import (
	"errors"
	"fmt"

	"gypsumtide"
)

// ErrAhead means that the stamp of an id is further ahead than the allowed clock skew.
var ErrAhead = errors.New("submission id is stamped in the future")

// ErrExpired means that the stamp of an id is older than the retention period.
var ErrExpired = errors.New("submission id is older than the retention period")

// Rules decides by its time stamp whether an id is admitted.
type Rules struct {
	maxSkew   gypsumtide.Millis
	retention gypsumtide.Millis
}

// NewRules returns rules for the allowed clock skew between entries and the
// retention period of ids.
func NewRules(maxSkew, retention gypsumtide.Millis) Rules {
	return Rules{maxSkew: maxSkew, retention: retention}
}

// Check returns ErrAhead or ErrExpired if the id cannot be admitted at wall time now.
//
// Entries that take over a shard rely on ErrAhead: it ensures that an id stamped
// later than the takeover plus the skew cannot have been accepted before.
func (r Rules) Check(id gypsumtide.SubmissionID, now gypsumtide.Millis) error {
	if ahead := id.Timestamp() - now; ahead > r.maxSkew {
		return fmt.Errorf("%w: %d ms ahead, at most %d ms allowed", ErrAhead, ahead, r.maxSkew)
	}
	if age := now - id.Timestamp(); age > r.retention {
		return fmt.Errorf("%w: %d ms old, kept for %d ms", ErrExpired, age, r.retention)
	}
	return nil
}

// Retention returns the retention period of ids.
func (r Rules) Retention() gypsumtide.Millis { return r.retention }
