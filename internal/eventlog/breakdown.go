package eventlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Breakdown counts the outcomes of jobs by route, by number of tasks, by entry and by the
// availability zone of the entry, and the task orders by the zone of the worker.
type Breakdown struct {
	groups map[groupKey]*groupCounts
	orders map[string]int
}

// groupKey names a group of jobs, for example the dimension "route" and the name of one.
type groupKey struct{ dimension, value string }

// groupCounts holds the outcomes of the jobs of a group.
type groupCounts struct {
	jobs, inTime, late, refused, failed, unknown int
	// answerTimes has the time of each complete answer in milliseconds.
	answerTimes []int64
}

// Dimensions of a Breakdown, in the order of the table.
var dimensions = []string{"route", "tasks", "zone", "entry"}

// NewBreakdown counts the decision lines of the entries. The zones of entries and agents
// are those in the lines that they wrote at their start.
func NewBreakdown(lines []Line) *Breakdown {
	b := &Breakdown{groups: make(map[groupKey]*groupCounts), orders: make(map[string]int)}
	zones := make(map[string]string)
	for _, l := range lines {
		if l.Kind == "start" {
			zones[l.Node] = l.Field("zone")
		}
	}
	for _, l := range lines {
		switch l.Kind {
		case "job-answered":
			b.countJob(&l, zones[l.Node])
		case "task-placed":
			b.orders[zones[l.Field("worker")]]++
		}
	}
	return b
}

func (b *Breakdown) countJob(l *Line, zone string) {
	values := map[string]string{"route": l.Field("route"), "tasks": sizeClass(l.number("tasks")), "zone": zone, "entry": l.Node}
	for dimension, value := range values {
		key := groupKey{dimension, value}
		if b.groups[key] == nil {
			b.groups[key] = &groupCounts{}
		}
		b.groups[key].count(l)
	}
}

func (c *groupCounts) count(l *Line) {
	c.jobs++
	took := l.number("took-ms")
	switch l.Field("outcome") {
	case "complete":
		c.answerTimes = append(c.answerTimes, took)
		if took <= l.number("objective-ms") {
			c.inTime++
		} else {
			c.late++
		}
	case "not-run":
		c.refused++
	case "failed":
		c.failed++
	default:
		c.unknown++
	}
}

// number returns the value of a field as an integer, or 0 if it has none.
func (l *Line) number(key string) int64 {
	n, err := strconv.ParseInt(l.Field(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// sizeClass returns the range of task counts that a job belongs to, with leading zeros so that
// the ranges sort by size.
func sizeClass(tasks int64) string {
	low := int64(1)
	for low*2 <= tasks {
		low *= 2
	}
	return fmt.Sprintf("%04d-%04d", low, 2*low-1)
}

// percentile returns the value below which the share of the sorted times lies, or 0 if
// there are none.
func percentile(sorted []int64, share float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}

// Write writes the breakdown as a table with one row per group.
func (b *Breakdown) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "by\tgroup\tjobs\tin time\tlate\trefused\tfailed\tunknown\tp50 ms\tp99 ms")
	for _, key := range b.sortedKeys() {
		c := b.groups[key]
		slices.Sort(c.answerTimes)
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", key.dimension, key.value, c.jobs, c.share(c.inTime), c.share(c.late),
			c.share(c.refused), c.share(c.failed), c.share(c.unknown), percentile(c.answerTimes, 0.5), percentile(c.answerTimes, 0.99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, zone := range slices.Sorted(maps.Keys(b.orders)) {
		if _, err := fmt.Fprintf(w, "orders to zone %q: %d\n", zone, b.orders[zone]); err != nil {
			return err
		}
	}
	return nil
}

func (c *groupCounts) share(n int) string { return fmt.Sprintf("%.3f", float64(n)/float64(c.jobs)) }

func (b *Breakdown) sortedKeys() []groupKey {
	keys := slices.Collect(maps.Keys(b.groups))
	slices.SortFunc(keys, func(x, y groupKey) int {
		return cmp.Or(cmp.Compare(slices.Index(dimensions, x.dimension), slices.Index(dimensions, y.dimension)), cmp.Compare(x.value, y.value))
	})
	return keys
}
