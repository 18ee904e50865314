package dispatch

import (
	"cmp"
	"math"
	"slices"

	"gypsumtide"
)

// Parameters of the fair shares.
const (
	// targetBacklog is the backlog, relative to the processors of the workers, that the
	// refusals keep under overload. A higher value makes more jobs late, a lower one leaves
	// workers idle (docs/design/admission.md).
	targetBacklog = 0.15
	// backlogGain and backlogIntegralGain, per second, set by how much of the offered work
	// more is refused if the backlog exceeds its target. The first reacts to bursts, the
	// second finds the value for a lasting overload within about a second.
	backlogGain         = 1.5
	backlogIntegralGain = 3
	// releaseFactor is how much faster the refusals decrease than they increase. With 1, the
	// uneven backlog of a small deployment left workers idle (docs/design/admission.md).
	releaseFactor = 3
	// maxIntegral bounds the time for which refusals go on after an overload.
	maxIntegral = 0.8
	// maxExcess leaves a tenth of the work to keep measuring the backlog.
	maxExcess = 0.9
	// shareWindow is the time constant in milliseconds of the average of the offered work.
	shareWindow = 1000
	// minOffered is the work in core-milliseconds per second below which a route is forgotten.
	minOffered = 1
	// minPart is the part of the work of a route that is always admitted, so that urgent
	// work does not shut out the others.
	minPart = 0.1
	// sizeWeight is the credit, relative to its work, that a job needs. Higher values refuse
	// more large jobs; with 0.15 the largest tenth was served less than half as often as all.
	sizeWeight = 0.1
)

// fairShares decides which jobs an entry refuses under overload. It is weighted fair queueing
// by core-seconds applied on admission: the capacity is divided among the routes by max-min
// fairness, so that routes that ask for little are served in full. Work of priority 0 is
// served first. All entries see about the same backlog and therefore refuse about the same
// part of what is offered to them, without knowing of each other.
type fairShares struct {
	routes map[string]*routeShare
	// excess is the part of all offered work that has to be refused. integral is the part
	// of it that follows from the backlog in the past.
	excess, integral float64
	updatedAt        gypsumtide.Millis
}

// routeShare is the state of a route.
type routeShare struct {
	priority int
	// offered is the work that was recently offered, in core-milliseconds per second.
	offered   float64
	offeredAt gypsumtide.Millis
	// part is the part of the offered work that is admitted. credit is the work that could
	// have been admitted and was not.
	part, credit float64
}

func newFairShares() fairShares {
	return fairShares{routes: make(map[string]*routeShare), updatedAt: math.MinInt32}
}

// admit reports whether a job of the route is within the route's share, and counts its work
// in core-milliseconds.
func (f *fairShares) admit(now gypsumtide.Millis, route *gypsumtide.QueueRoute, work float64) bool {
	r, ok := f.routes[route.Name]
	if !ok {
		r = &routeShare{part: 1, offeredAt: now}
		f.routes[route.Name] = r
	}
	r.priority = route.Priority
	r.decay(now)
	r.offered += work
	if r.part >= 1 {
		r.credit = 0
		return true
	}
	admitted := r.credit >= sizeWeight*work
	r.credit += r.part * work
	if admitted {
		r.credit -= work
	}
	return admitted
}

// decay updates the average of the offered work.
func (r *routeShare) decay(now gypsumtide.Millis) {
	r.offered *= math.Exp(-float64(now-r.offeredAt) / shareWindow)
	r.offeredAt = now
}

// update computes the parts from the present backlog.
func (f *fairShares) update(now gypsumtide.Millis, backlog float64) {
	seconds := min(0.1, float64(now-f.updatedAt)/1000)
	f.updatedAt = now
	above := backlog - targetBacklog
	gain := float64(backlogIntegralGain)
	if above < 0 {
		gain *= releaseFactor
	}
	f.integral = min(maxIntegral, max(0, f.integral+gain*above*seconds))
	f.excess = min(maxExcess, max(0, f.integral+backlogGain*above))
	total := 0.0
	for name, r := range f.routes {
		r.decay(now)
		r.part = 1
		total += r.offered
		if r.offered < minOffered {
			delete(f.routes, name)
		}
	}
	if f.excess > 0 {
		f.divide(total * (1 - f.excess))
	}
}

// divide divides the work that can be admitted among the routes.
func (f *fairShares) divide(left float64) {
	limited := make([]*routeShare, 0, len(f.routes))
	for _, r := range f.routes {
		if r.priority == 0 {
			left -= r.offered
		} else {
			limited = append(limited, r)
		}
	}
	slices.SortFunc(limited, func(a, b *routeShare) int { return cmp.Compare(a.offered, b.offered) })
	for i, r := range limited {
		r.part = min(1, max(minPart, left/float64(len(limited)-i)/r.offered))
		left -= r.part * r.offered
	}
}

// work returns the expected work of a job in core-milliseconds.
func (s *State) work(j *job) float64 {
	work := 0.0
	for i := range j.steps {
		work += float64(j.steps[i].Tasks) * float64(j.steps[i].Size.Processors) / 1000 * float64(s.expected(j, i))
	}
	return work
}
