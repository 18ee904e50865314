package eventlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Line is one decision line of a process.
type Line struct {
	Time   time.Time `json:"time"`
	Kind   string    `json:"msg"`
	Node   string    `json:"node"`
	fields map[string]any
}

// Text returns a field as text.
func (l *Line) Text(key string) string {
	v, ok := l.fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Job returns the id of the job that the line is about, if any.
func (l *Line) Job() string {
	if job := l.Text("job"); job != "" {
		return job
	}
	job, _, _ := strings.Cut(l.Text("run"), "/")
	return job
}

// maxLineBytes bounds a line of a file that may not be a log.
const maxLineBytes = 1 << 20

// Read returns the decision lines of r and the number of lines that are none. A
// file may be cut or hold other output.
func Read(r io.Reader) (lines []Line, foreign int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Collectors put a time or a name before the line.
		i := strings.IndexByte(text, '{')
		var l Line
		if i < 0 || json.Unmarshal([]byte(text[i:]), &l) != nil || l.Kind == "" {
			foreign++
			continue
		}
		dec := json.NewDecoder(strings.NewReader(text[i:]))
		dec.UseNumber() // Fencing tokens have more digits than a float prints.
		if err := dec.Decode(&l.fields); err != nil {
			foreign++
			continue
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return lines, foreign, fmt.Errorf("read log: %w", err)
	}
	return lines, foreign, nil
}

// hidden lists fields that the trace prints in other columns or that carry no news.
var hidden = map[string]bool{"time": true, "level": true, "msg": true, "node": true, "incarnation": true, "job": true}

// Trace writes the lines of one job in the order of their times. The id is the
// job's or a request's. Clocks of hosts differ by little, so lines of different
// hosts within milliseconds may change places.
func Trace(w io.Writer, lines []Line, id string) (int, error) {
	job := id
	for _, l := range lines {
		if l.Text("request") == id {
			job = l.Job()
		}
	}
	var own []Line
	for _, l := range lines {
		if l.Job() == job {
			own = append(own, l)
		}
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].Time.Before(own[j].Time) })
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range own {
		since := l.Time.Sub(own[0].Time)
		if _, err := fmt.Fprintf(table, "%d ms\t%s\t%s\t%s\n", since.Milliseconds(), l.Node, l.Kind, l.details()); err != nil {
			return 0, err
		}
	}
	return len(own), table.Flush()
}

func (l *Line) details() string {
	var parts []string
	for key, value := range l.fields {
		if !hidden[key] && value != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// summaryStep is the width of a row of a summary.
const summaryStep = time.Second

// OutcomeCounts holds the number of jobs that ended within one second, by outcome and reason.
type OutcomeCounts struct {
	At     time.Time
	Counts map[string]int
}

// CountOutcomes counts the jobs that ended in each second, by outcome and reason.
func CountOutcomes(lines []Line) []OutcomeCounts {
	counts := make(map[time.Time]map[string]int)
	for _, l := range lines {
		if l.Kind != "job-answered" {
			continue
		}
		at := l.Time.Truncate(summaryStep)
		if counts[at] == nil {
			counts[at] = make(map[string]int)
		}
		counts[at][strings.TrimSuffix(l.Text("outcome")+": "+l.Text("reason"), ": ")]++
	}
	seconds := make([]OutcomeCounts, 0, len(counts))
	for at, c := range counts {
		seconds = append(seconds, OutcomeCounts{At: at, Counts: c})
	}
	sort.Slice(seconds, func(i, j int) bool { return seconds[i].At.Before(seconds[j].At) })
	return seconds
}

// Summary writes the outcomes, a line for each second, outcome and reason.
func Summary(w io.Writer, lines []Line) error {
	for _, s := range CountOutcomes(lines) {
		for _, outcome := range slices.Sorted(maps.Keys(s.Counts)) {
			if _, err := fmt.Fprintf(w, "%s  %5d  %s\n", s.At.Format(time.TimeOnly), s.Counts[outcome], outcome); err != nil {
				return err
			}
		}
	}
	return nil
}
