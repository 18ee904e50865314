// Package history records what callers and upstreams saw and checks the
// promises of the design page against it.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
)

// Attempt is one request of a caller, written when the request ends.
type Attempt struct {
	Submission string `json:"submission"`
	Attempt    int    `json:"attempt"`
	Entry      string `json:"entry"`
	// Sent and Received are Unix times in milliseconds.
	Sent     float64 `json:"sent-wall-ms"`
	Received float64 `json:"received-wall-ms"`
	Deadline float64 `json:"deadline-ms"`
	Tasks    int     `json:"tasks"`
	// Outcome is empty if no answer was received.
	Outcome string `json:"outcome"`
	// Status is 0 if no answer was received.
	Status int    `json:"status"`
	Step   string `json:"step,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Results counts the results of a complete answer.
	Results int `json:"results"`
	// Check is CheckOK, or says what is wrong with the bodies.
	Check string `json:"check,omitempty"`
	// Digest identifies the content of a complete answer.
	Digest        string `json:"digest,omitempty"`
	NonIdempotent bool   `json:"non-idempotent"`
	Cancelled     bool   `json:"cancelled,omitempty"`
	// Reused marks a request on a connection that had been idle. The entry may
	// have closed it before the request arrived.
	Reused bool `json:"reused-connection,omitempty"`
}

// Values of Attempt.Check.
const (
	CheckOK         = "ok"
	CheckMismatched = "crossed"
	CheckUnreadable = "broken"
)

// Values of Attempt.Step for requests without an answer.
const (
	// StepConnect means that no connection could be opened, so the entry never received the request.
	StepConnect = "connect"
	// StepAnswer means that the connection broke while the request was open.
	StepAnswer = "answer"
	// StepTimeout means that the caller gave up.
	StepTimeout = "timeout"
)

// Event is one line of an upstream's history.
type Event struct {
	Event      string  `json:"event"`
	Submission string  `json:"submission"`
	Task       int     `json:"task"`
	Wall       float64 `json:"wall-ms"`
	Mono       int64   `json:"mono-ns"`
	Upstream   string  `json:"upstream"`
}

// Values of Event.Event.
const (
	EventStart = "start"
	EventEnd   = "end"
	EventStop  = "stop"
)

// Fault is a period in which the schedule disturbed a process or link.
type Fault struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	// Entry is the address of a stopped entry if callers reach it through a
	// proxy. The proxy accepts requests that the entry would refuse.
	Entry string `json:"entry,omitempty"`
	// Graceful faults may interrupt no request.
	Graceful bool `json:"graceful"`
	// Upstream is the upstream that a graceful stop makes leave.
	Upstream string `json:"upstream,omitempty"`
	// Stop marks the graceful stop of a process.
	Stop  bool    `json:"stop,omitempty"`
	From  float64 `json:"from-wall-ms"`
	Until float64 `json:"until-wall-ms"`
}

// Writer writes JSON lines and is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewWriter returns a Writer that writes each line to w at once.
func NewWriter(w io.Writer) *Writer { return &Writer{enc: json.NewEncoder(w)} }

// Write appends one line.
func (w *Writer) Write(v any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enc.Encode(v); err != nil {
		return fmt.Errorf("history: write: %w", err)
	}
	return nil
}

// Read returns the lines of the files. A last line without an end is
// dropped, since a killed process can leave one.
func Read[T any](paths ...string) ([]T, error) {
	var all []T
	for _, path := range paths {
		lines, err := readFile[T](path)
		if err != nil {
			return nil, fmt.Errorf("history: read %s: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return decode[T](f)
}

func decode[T any](rd io.Reader) ([]T, error) {
	var lines []T
	r := bufio.NewReader(rd)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return nil, err
		}
		var v T
		if err := json.Unmarshal(line, &v); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		lines = append(lines, v)
	}
}
