package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumtide"
	"gypsumtide/internal/standin/history"
)

// stats collects the results of a run. It is safe for concurrent use.
type stats struct {
	mu              sync.Mutex
	classes         map[string]*classStats
	teams           map[string]*TeamReport
	directResponses *hdrhistogram.Histogram
	directErrors    int
	peak            PeakReport
	// peakRunTime is the total run time of the tasks offered during peaks, in milliseconds.
	peakRunTime    float64
	completedTasks int
	errors         map[string]int
}

// classStats collects the results of one class. The histograms response and
// extra hold microseconds; ratio holds multiples of 1/ratioUnit.
type classStats struct {
	outcomes map[string]int
	response *hdrhistogram.Histogram
	ratio    *hdrhistogram.Histogram
	extra    *hdrhistogram.Histogram
	late     int
}

// newHistogram returns a histogram for values up to one hour in microseconds, or up
// to a ratio of 360,000.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

func newStats(cfg *Config) *stats {
	s := &stats{classes: map[string]*classStats{}, teams: map[string]*TeamReport{}, directResponses: newHistogram(), errors: map[string]int{}}
	for _, c := range cfg.Classes {
		s.classes[c.Name] = &classStats{outcomes: map[string]int{}, response: newHistogram(), ratio: newHistogram(), extra: newHistogram()}
		s.teams[c.Team] = &TeamReport{}
	}
	return s
}

// recordError counts an error of the load tool itself or of a cancellation
// request. A nil error is ignored.
func (s *stats) recordError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors[err.Error()]++
}

func recordValue(h *hdrhistogram.Histogram, v int64) {
	// Values outside the histogram's range count as the lowest or highest one.
	_ = h.RecordValue(min(max(v, 1), h.HighestTrackableValue()))
}

func (s *stats) recordDirect(err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.directErrors++
		return
	}
	recordValue(s.directResponses, took.Microseconds())
}

// bestOutcome returns the best outcome of a job's attempts: complete if there is
// one, otherwise "cancelled" for a cancelled job, otherwise the last outcome
// received, otherwise the step at which the first attempt failed.
func bestOutcome(attempts []history.Attempt, cancelled bool) string {
	best := ""
	for _, attempt := range attempts {
		switch {
		case attempt.Outcome == string(gypsumtide.OutcomeComplete):
			return attempt.Outcome
		case attempt.Outcome != "":
			best = attempt.Outcome
		case best == "":
			best = "no answer: " + attempt.Step
		}
	}
	if cancelled {
		return "cancelled"
	}
	return best
}

// recordJob adds a finished job. due is the scheduled arrival, from which the
// response time counts.
func (s *stats) recordJob(a *arrival, attempts []history.Attempt, cancelled bool, due, answered time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, team, n := s.classes[a.class.Name], s.teams[a.class.Team], len(a.runTimes)
	outcome := bestOutcome(attempts, cancelled)
	c.outcomes[outcome]++
	team.Offered += n
	if a.duringPeak {
		s.peak.Offered += n
		for _, run := range a.runTimes {
			s.peakRunTime += float64(run)
		}
	}
	if outcome != string(gypsumtide.OutcomeComplete) {
		return
	}
	s.completedTasks += n
	took := answered.Sub(due)
	ideal := a.idealResponse
	recordValue(c.response, took.Microseconds())
	recordValue(c.ratio, int64(float64(took)/float64(ideal.Duration())*ratioUnit))
	recordValue(c.extra, (took - ideal.Duration()).Microseconds())
	if took > a.class.Deadline.Duration() {
		c.late++
		return
	}
	team.Served += n
	if a.duringPeak {
		s.peak.Served += n
	}
}

// ratioUnit is the value that stands for a ratio of 1 in the ratio histograms.
const ratioUnit = 10_000

// Quantiles holds quantiles and the maximum of a histogram.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// quantiles summarises h and divides its values by unit.
func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / unit }
	return Quantiles{P50: q(50), P99: q(99), P999: q(99.9), Max: float64(h.Max()) / unit}
}

// Report is the result of a run. Response times are in milliseconds.
type Report struct {
	Classes map[string]*ClassReport `json:"classes"`
	Teams   map[string]*TeamReport  `json:"teams"`
	// Fairness is Jain's index over the teams' shares: 1 means that they are equal. It is
	// 0 if no task was served.
	Fairness float64 `json:"fairness"`
	// Peak is nil if no job arrived during a peak or Config.Slots is unknown.
	Peak *PeakReport `json:"crest,omitempty"`
	// Messages is nil if no process exports the message counter or no task was completed.
	Messages *MessagesReport `json:"messages,omitempty"`
	// Direct is nil if Config.Direct has no rate.
	Direct *DirectReport `json:"direct,omitempty"`
	// Errors counts errors of the load tool and of cancellation requests by their message.
	Errors map[string]int `json:"errors,omitempty"`
}

// ClassReport holds the results of one class. Its figures other than Outcomes
// cover completed jobs.
type ClassReport struct {
	Outcomes map[string]int `json:"outcomes"`
	// Late counts completed jobs whose response came after the deadline.
	Late     int       `json:"late"`
	Response Quantiles `json:"response-ms"`
	// Ratio is the response time divided by the ideal one.
	Ratio Quantiles `json:"response-ratio"`
	// Extra is the response time minus the ideal one, in milliseconds.
	Extra Quantiles `json:"extra-ms"`

	ratios *hdrhistogram.Histogram
}

// TeamReport counts the tasks of a team. Served counts those of jobs that were completed
// within their deadline. Share is Served divided by Offered.
type TeamReport struct {
	Offered int     `json:"offered"`
	Served  int     `json:"served"`
	Share   float64 `json:"share"`
}

// PeakReport compares the tasks of jobs that arrived during a peak and were
// completed within their deadline (Served) with the number that the slots can
// serve during the peaks (Servable, at most Offered). ServedRatio is Served divided
// by Servable.
type PeakReport struct {
	Offered     int     `json:"offered"`
	Served      int     `json:"served"`
	Servable    float64 `json:"possible"`
	ServedRatio float64 `json:"service"`
}

// MessagesReport counts messages between processes.
type MessagesReport struct {
	Dispatches float64 `json:"dispatches"`
	Results    float64 `json:"results"`
	Messages   float64 `json:"messages"`
	// Wasted is the number of messages per completed task beyond the two that
	// each task needs, one dispatch and one result.
	Wasted float64 `json:"wasted-per-task"`
}

// DirectReport holds the results of the calls without the dispatcher. Calls counts those
// without an error.
type DirectReport struct {
	Calls    int64     `json:"calls"`
	Errors   int       `json:"errors"`
	Response Quantiles `json:"response-ms"`
}

// report computes the report from the collected results and the counters
// scraped before and after the run.
func (s *stats) report(cfg *Config, before, after counters) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := &Report{Classes: map[string]*ClassReport{}, Teams: s.teams, Errors: s.errors}
	for name, c := range s.classes {
		rep.Classes[name] = &ClassReport{Outcomes: c.outcomes, Late: c.late, Response: quantiles(c.response, 1000),
			Ratio: quantiles(c.ratio, ratioUnit), Extra: quantiles(c.extra, 1000), ratios: c.ratio}
	}
	rep.Fairness = fairness(s.teams)
	if s.peak.Offered > 0 && cfg.Slots > 0 {
		peak := s.peak
		mean := s.peakRunTime / float64(peak.Offered)
		peak.Servable = min(float64(peak.Offered), float64(cfg.Slots)*float64(cfg.peakDuration())/mean)
		peak.ServedRatio = float64(peak.Served) / peak.Servable
		rep.Peak = &peak
	}
	if m, ok := messagesReport(before, after, s.completedTasks); ok {
		rep.Messages = &m
	}
	if cfg.Direct.Rate > 0 {
		rep.Direct = &DirectReport{Calls: s.directResponses.TotalCount(), Errors: s.directErrors, Response: quantiles(s.directResponses, 1000)}
	}
	return rep
}

// peakDuration returns the total length of the peaks within the run.
func (c *Config) peakDuration() gypsumtide.Millis {
	var sum gypsumtide.Millis
	for start := c.Peak.Start; start < c.Duration; start += c.Peak.Period {
		sum += min(c.Peak.Length, c.Duration-start)
		if c.Peak.Period == 0 {
			break
		}
	}
	return sum
}

// fairness sets the share of each team that offered tasks and returns Jain's
// index over them.
func fairness(teams map[string]*TeamReport) float64 {
	var n, sum, squares float64
	for _, t := range teams {
		if t.Offered == 0 {
			continue
		}
		t.Share = float64(t.Served) / float64(t.Offered)
		n++
		sum += t.Share
		squares += t.Share * t.Share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// messagesReport computes the messages between two scrapes. It reports false if
// no process exports metricMessages or no task was completed.
func messagesReport(before, after counters, tasks int) (MessagesReport, bool) {
	var m MessagesReport
	var found bool
	m.Dispatches, _ = increase(before, after, metricDispatches)
	m.Results, _ = increase(before, after, metricResults)
	m.Messages, found = increase(before, after, metricMessages)
	if !found || tasks == 0 {
		return m, false
	}
	m.Wasted = m.Messages/float64(tasks) - 2
	return m, true
}

// WriteText writes the report as plain text tables.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { fmt.Fprintf(tw, format+"\n", args...) }
	p("class\tresponse p50\tp99\tp99.9 ms\tratio p50\tp99\tp99.9\tlate\toutcomes")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		p("%s\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%d\t%s", name, c.Response.P50, c.Response.P99, c.Response.P999,
			c.Ratio.P50, c.Ratio.P99, c.Ratio.P999, c.Late, formatCounts(c.Outcomes))
	}
	p("\nteam\toffered\tserved\tshare")
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		t := r.Teams[name]
		p("%s\t%d\t%d\t%.3f", name, t.Offered, t.Served, t.Share)
	}
	p("fairness\t%.3f", r.Fairness)
	if c := r.Peak; c != nil {
		p("\ncrest service\t%.3f\t(%d served, %.0f possible, %d offered)", c.ServedRatio, c.Served, c.Servable, c.Offered)
	}
	if m := r.Messages; m != nil {
		p("\nwasted messages per task\t%.3f\t(%.0f messages, %.0f dispatches, %.0f results)", m.Wasted, m.Messages, m.Dispatches, m.Results)
	}
	if d := r.Direct; d != nil {
		p("\ndirect calls\t%d\tp50 %.2f ms\tp99 %.2f ms\t%d errors", d.Calls, d.Response.P50, d.Response.P99, d.Errors)
	}
	for _, e := range slices.Sorted(maps.Keys(r.Errors)) {
		p("error\t%d\t%s", r.Errors[e], e)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("load: report: %w", err)
	}
	return nil
}

// formatCounts lists the counts sorted by key.
func formatCounts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
