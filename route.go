package gypsumtide

import (
	"context"
	"strings"
)

// QueueRoute maps requests to a service and configures how its jobs are run.
type QueueRoute struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Host   string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"`
	// Service names the workers that run the tasks.
	Service string `cbor:"4,keyasint,omitempty"`
	// Priority orders waiting jobs; 0 goes first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Attempts is the number of failed runs after which a task counts as failed; 0 means
	// the same as 1.
	Attempts int `cbor:"6,keyasint,omitempty"`
	// Timeout limits the duration of a request that has no deadline of its own; 0 means a
	// default limit.
	Timeout Millis `cbor:"7,keyasint,omitempty"`
	// SlackFactor and Allowance define the latency objective: the run time of the
	// job times SlackFactor, plus Allowance.
	SlackFactor float64 `cbor:"8,keyasint,omitempty"`
	Allowance   Millis  `cbor:"9,keyasint,omitempty"`
	// HasAdvice means that the queue has an advice policy, which decides on which workers
	// a task may run and issues a ticket for each permitted task. That is not supported
	// yet, so jobs on such a route are rejected.
	HasAdvice bool `cbor:"10,keyasint,omitempty"`
}

// Objective returns the latency objective of a job with the given run time.
func (r *QueueRoute) Objective(run Millis) Millis {
	return Millis(r.SlackFactor*float64(run)) + r.Allowance
}

// RouteTable is one version of the routes. It is immutable.
type RouteTable struct {
	version uint64
	routes  []QueueRoute
	// byHost indexes the routes by host, since a table may have thousands.
	byHost map[string][]*QueueRoute
	// maxBody is the largest accepted request body in bytes.
	maxBody int64
}

// NewRouteTable returns the given version of the table.
func NewRouteTable(version uint64, routes []QueueRoute, maxBody int64) *RouteTable {
	t := &RouteTable{version: version, routes: routes, byHost: make(map[string][]*QueueRoute), maxBody: maxBody}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t
}

// Version returns the version, which increases with each change.
func (t *RouteTable) Version() uint64 { return t.version }

// MaxBody returns the largest request body in bytes.
func (t *RouteTable) MaxBody() int64 { return t.maxBody }

// Routes returns all routes. The caller must not change them.
func (t *RouteTable) Routes() []QueueRoute { return t.routes }

// Match returns the route of host with the longest prefix that matches path, or nil.
func (t *RouteTable) Match(host, path string) *QueueRoute {
	var best *QueueRoute
	for _, r := range t.byHost[host] {
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// OperatorRead is the result of a read of the operator's log.
type OperatorRead struct {
	// Table is the newest encoded route table among the records read, or nil.
	Table []byte
	// Evacuations lists the changes of the evacuated zones in the order of the records.
	Evacuations []EvacuationChange
	// Skipped describes the records about evacuations that name no valid zone.
	Skipped []string
	// Next is the position from which to continue. The changes lead to the set of evacuated
	// zones of this version.
	Next uint64
}

// TableSource provides the route tables and the evacuations that the operator has
// published. Its calls fail when the source stops answering. How long they take otherwise
// depends on the size of the table and the bandwidth.
type TableSource interface {
	// Newest returns the newest table and all evacuated zones, as changes of an empty set.
	Newest(ctx context.Context) (OperatorRead, error)
	// Next waits up to wait for records at or after position, and returns what they
	// change. It returns a *TrimmedError if the position is no longer retained.
	Next(ctx context.Context, position uint64, wait Millis) (OperatorRead, error)
	// Decode decodes and validates a published table.
	Decode(raw []byte) (*RouteTable, error)
}
