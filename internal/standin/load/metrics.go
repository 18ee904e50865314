package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Counters of the dispatcher's processes from which MessagesReport is computed.
const (
	metricDispatches = "gypsumtide_dispatches_total"
	metricResults    = "gypsumtide_results_total"
	metricMessages   = "gypsumtide_messages_total"
)

// counters maps the URL of a process and the name of a counter to its value,
// summed over all labels.
type counters map[string]map[string]float64

// scrape reads the counters of all processes. Processes that do not respond are left out.
func (r *Runner) scrape(ctx context.Context) counters {
	all := counters{}
	for _, url := range append(append([]string(nil), r.cfg.Targets...), r.cfg.Metrics...) {
		m, err := r.scrapeOne(ctx, url)
		if err == nil {
			all[url] = m
		}
	}
	return all
}

func (r *Runner) scrapeOne(ctx context.Context, url string) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return parseMetrics(res.Body)
}

// parseMetrics reads the Prometheus text format and sums the samples of each metric.
func parseMetrics(rd io.Reader) (map[string]float64, error) {
	m := map[string]float64{}
	sc := bufio.NewScanner(rd)
	for sc.Scan() {
		line := sc.Text()
		i := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || i < 0 {
			continue
		}
		name, _, _ := strings.Cut(line[:i], "{")
		if v, err := strconv.ParseFloat(line[i+1:], 64); err == nil {
			m[name] += v
		}
	}
	return m, sc.Err()
}

// increase returns how much a counter grew, summed over the processes in after.
// A process that is missing in before counts from 0, and so does one whose
// counter decreased, since it has restarted. found is false if no process
// exports the counter.
func increase(before, after counters, name string) (sum float64, found bool) {
	for url, now := range after {
		v, ok := now[name]
		if !ok {
			continue
		}
		found = true
		if old := before[url][name]; old <= v {
			v -= old
		}
		sum += v
	}
	return sum, found
}
