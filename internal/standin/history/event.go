// Package history records what callers and upstreams observed, and checks these
// histories against the guarantees that the dispatcher gives to callers.
//
// An entry is the process of the dispatcher that accepts jobs from callers. The
// home of a submission is the entry that owns its shard and dispatches its tasks to
// agents, each of which passes them to the upstreams on its machine.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
)

// Attempt is one request of a caller. It is written when the request ends.
type Attempt struct {
	Submission string `json:"submission"`
	Attempt    int    `json:"attempt"`
	Entry      string `json:"entry"`
	// Sent and Received are Unix times in milliseconds.
	Sent     float64 `json:"sent-wall-ms"`
	Received float64 `json:"received-wall-ms"`
	// Deadline is the time limit of the job in milliseconds, counted from Sent.
	Deadline float64 `json:"deadline-ms"`
	Tasks    int     `json:"tasks"`
	// Outcome is empty if no readable answer was received.
	Outcome string `json:"outcome"`
	// Status is 0 if no answer was received.
	Status int `json:"status"`
	// Step is the processing step that the answer names, or StepConnect, StepAnswer or
	// StepTimeout if no readable answer was received.
	Step   string `json:"step,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Results counts the results in the answer.
	Results int `json:"results"`
	// Check is CheckOK, CheckMismatched or CheckUnreadable, the result of checking the
	// bodies of a complete answer.
	Check string `json:"check,omitempty"`
	// Digest identifies the content of a complete answer.
	Digest        string `json:"digest,omitempty"`
	NonIdempotent bool   `json:"non-idempotent"`
	Cancelled     bool   `json:"cancelled,omitempty"`
	// Reused marks a request on a connection that had been idle. The entry may have
	// closed the connection before the request arrived.
	Reused bool `json:"reused-connection,omitempty"`
}

// Values of Attempt.Check.
const (
	CheckOK         = "ok"
	CheckMismatched = "crossed"
	CheckUnreadable = "broken"
)

// Values of Attempt.Step for requests without a readable answer.
const (
	// StepConnect means that no connection could be opened, so the entry never
	// received the request.
	StepConnect = "connect"
	// StepAnswer means that the connection broke while the request was open, or that the
	// answer was unreadable.
	StepAnswer = "answer"
	// StepTimeout means that the caller stopped waiting.
	StepTimeout = "timeout"
)

// Event is one line in the history of an upstream. Wall is a Unix time in
// milliseconds, Mono the time since the start of the upstream in nanoseconds.
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

// Fault is a period in which an injected fault affected a process or link.
type Fault struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	// Entry is the address of a stopped entry if callers reach it through a proxy.
	// The proxy accepts connections while the entry is down.
	Entry string `json:"entry,omitempty"`
	// Graceful marks a fault, such as a graceful stop, that must not interrupt any request.
	Graceful bool `json:"graceful"`
	// Upstream is the upstream that leaves because of a graceful stop.
	Upstream string `json:"upstream,omitempty"`
	// Stop marks the graceful stop of a process.
	Stop  bool    `json:"stop,omitempty"`
	From  float64 `json:"from-wall-ms"`
	Until float64 `json:"until-wall-ms"`
}

// Writer writes values as JSON lines. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	enc *json.Encoder
}

// NewWriter returns a Writer that writes each line to w without buffering.
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

// Read decodes the lines of the files. It drops a last line without a newline, since
// a killed process can leave an incomplete one.
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

// decode decodes lines of JSON. It drops a last line without a newline.
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
