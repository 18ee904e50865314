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

// Line is one line of a process's decision log.
type Line struct {
	Time   time.Time `json:"time"`
	Kind   string    `json:"msg"`
	Node   string    `json:"node"`
	fields map[string]any
}

// Field returns the value of a field as text, or "" if the line lacks it.
func (l *Line) Field(key string) string {
	v, ok := l.fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Job returns the ID of the job that the line refers to, or "". It is the field
// "job", or the first part of the run name in the field "run".
func (l *Line) Job() string {
	if job := l.Field("job"); job != "" {
		return job
	}
	job, _, _ := strings.Cut(l.Field("run"), "/")
	return job
}

// maxLineBytes limits the memory that a line takes, since the file may not be a log.
const maxLineBytes = 1 << 20

// Read returns the decision lines of r and the number of lines that it skipped
// because they are not decision lines: a file may be truncated or contain other
// output.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Log collectors may put a time or a name before the JSON object.
		i := strings.IndexByte(text, '{')
		var l Line
		if i < 0 || json.Unmarshal([]byte(text[i:]), &l) != nil || l.Kind == "" {
			skipped++
			continue
		}
		dec := json.NewDecoder(strings.NewReader(text[i:]))
		dec.UseNumber() // Fencing tokens have more digits than a float64 can represent.
		if err := dec.Decode(&l.fields); err != nil {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return lines, skipped, fmt.Errorf("read log: %w", err)
	}
	return lines, skipped, nil
}

// hiddenFields lists the fields that a trace prints in other columns or omits as
// redundant.
var hiddenFields = map[string]bool{"time": true, "level": true, "msg": true, "node": true, "incarnation": true, "job": true}

// WriteTrace writes the lines of one job in the order of their timestamps, and returns
// their number. The id is that of the job or of a request. The clocks of hosts
// differ slightly, so lines of different hosts that are milliseconds apart may
// appear in the wrong order.
func WriteTrace(w io.Writer, lines []Line, id string) (int, error) {
	job := id
	for _, l := range lines {
		if l.Field("request") == id {
			job = l.Job()
		}
	}
	var jobLines []Line
	for _, l := range lines {
		if l.Job() == job {
			jobLines = append(jobLines, l)
		}
	}
	sort.SliceStable(jobLines, func(i, j int) bool { return jobLines[i].Time.Before(jobLines[j].Time) })
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range jobLines {
		elapsed := l.Time.Sub(jobLines[0].Time)
		if _, err := fmt.Fprintf(table, "%d ms\t%s\t%s\t%s\n", elapsed.Milliseconds(), l.Node, l.Kind, l.details()); err != nil {
			return 0, err
		}
	}
	return len(jobLines), table.Flush()
}

// details formats the fields that are neither hidden nor empty, sorted by name.
func (l *Line) details() string {
	var parts []string
	for key, value := range l.fields {
		if !hiddenFields[key] && value != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// summaryInterval is the period over which outcomes are counted together.
const summaryInterval = time.Second

// OutcomeCounts holds the number of jobs that ended within the second that begins
// at At, by outcome and reason.
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
		at := l.Time.Truncate(summaryInterval)
		if counts[at] == nil {
			counts[at] = make(map[string]int)
		}
		counts[at][strings.TrimSuffix(l.Field("outcome")+": "+l.Field("reason"), ": ")]++
	}
	seconds := make([]OutcomeCounts, 0, len(counts))
	for at, c := range counts {
		seconds = append(seconds, OutcomeCounts{At: at, Counts: c})
	}
	sort.Slice(seconds, func(i, j int) bool { return seconds[i].At.Before(seconds[j].At) })
	return seconds
}

// WriteSummary writes the number of jobs that ended, with one row per second, outcome
// and reason.
func WriteSummary(w io.Writer, lines []Line) error {
	for _, s := range CountOutcomes(lines) {
		for _, outcome := range slices.Sorted(maps.Keys(s.Counts)) {
			if _, err := fmt.Fprintf(w, "%s  %5d  %s\n", s.At.Format(time.TimeOnly), s.Counts[outcome], outcome); err != nil {
				return err
			}
		}
	}
	return nil
}
