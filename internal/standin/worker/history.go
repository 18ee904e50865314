package worker

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Event is a line of the history file.
type Event struct {
	// Event is "start", "end", or "stop" if the task was stopped.
	Event      string `json:"event"`
	Submission string `json:"submission"`
	Task       uint32 `json:"task"`
	WallMillis int64  `json:"wall-ms"`
	// MonoNanos is the monotonic time since the worker was created, in nanoseconds.
	MonoNanos int64  `json:"mono-ns"`
	Upstream  string `json:"upstream"`
}

// history appends events to a file, if there is one. Lines are not buffered, so
// that none are lost when the process is killed.
type history struct {
	file *os.File
}

func openHistory(path string) (*history, error) {
	if path == "" {
		return &history{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("worker: history: %w", err)
	}
	return &history{file: f}, nil
}

// write appends the event. A failed write exits the process, because an
// incomplete history is worse than none.
func (h *history) write(e Event) {
	if h.file == nil {
		return
	}
	data, err := json.Marshal(e)
	if err == nil {
		_, err = h.file.Write(append(data, '\n'))
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "worker: history: %v\n", err)
		os.Exit(4)
	}
}

func (h *history) close() error {
	if h.file == nil {
		return nil
	}
	return h.file.Close()
}

// newEvent returns an event of the task at the present time.
func (w *Worker) newEvent(name string, t *task) Event {
	return Event{
		Event: name, Submission: t.submission, Task: t.index, Upstream: w.cfg.Name,
		WallMillis: time.Now().UnixMilli(), MonoNanos: time.Since(w.startedAt).Nanoseconds(),
	}
}
