package gypsumtide

import (
	"errors"
	"fmt"
	"net"
)

// Error is a failure together with the step that failed and the peer involved.
type Error struct {
	step string
	peer string
	err  error
}

// NewError wraps err with the step that failed and the peer involved. The peer
// is empty for a local failure.
func NewError(step, peer string, err error) *Error {
	return &Error{step: step, peer: peer, err: err}
}

// Error implements error.
func (e *Error) Error() string {
	if e.peer == "" {
		return fmt.Sprintf("%s: %v", e.step, e.err)
	}
	return fmt.Sprintf("%s at %s: %v", e.step, e.peer, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Step returns the action that failed.
func (e *Error) Step() string { return e.step }

// Peer returns the process or host that the failed action involved.
func (e *Error) Peer() string { return e.peer }

// ErrorText returns the message of err for a log line, or "" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// NotSent reports whether a request cannot have reached its peer because the
// connection could not be established.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
