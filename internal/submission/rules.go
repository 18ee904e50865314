// Package submission holds the rules for the timestamps of submission ids, and the
// table of finished submissions that makes resubmission idempotent.
package submission

import (
	"errors"
	"fmt"

	"gypsumtide"
)

// ErrAhead means that the timestamp of an id is further in the future than the allowed
// clock skew.
var ErrAhead = errors.New("submission id has a timestamp in the future")

// ErrExpired means that the timestamp of an id is older than the retention period.
var ErrExpired = errors.New("submission id is older than the retention period")

// Rules decides by the timestamp of an id whether it is admitted.
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
// An entry that takes over a shard relies on ErrAhead: it ensures that an id with a
// timestamp later than the takeover plus twice the allowed skew cannot have been accepted
// before the takeover, since the clock of the earlier home may be ahead as well.
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
