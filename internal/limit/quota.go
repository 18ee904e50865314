// Package limit decides which jobs are admitted. It has quotas of teams that apply
// to all entries (dispatcher processes) together, admission by deadline, and a
// budget for redispatches. The home of a job is the entry that dispatches it.
package limit

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Limit bounds the tasks of its teams and of the limits that name it as their
// parent. A zero Rate or Concurrency means no bound.
type Limit struct {
	Name string
	// Parent names a limit that applies as well, empty for none.
	Parent string
	// Rate is in tasks per second, for all homes together.
	Rate float64
	// Burst is the number of tasks that may be admitted at once after an idle time; 0
	// means one second's worth.
	Burst float64
	// Concurrency bounds the tasks admitted and not done, for all homes together.
	Concurrency int
}

// Config defines limits and the teams that they apply to.
type Config struct {
	Limits []Limit
	// Teams names the limit of each team.
	Teams map[string]string
	// Default is the limit of each team that Teams does not list, empty for none. Each
	// of these teams is counted separately.
	Default string
	// Resolve, if set, replaces Teams and Default. It returns the names of the limits of
	// a key that is passed to Admit in place of a team name, for example a team and a
	// route. All keys with the same limit share it.
	Resolve func(key string) []string
}

// Options configure Quotas. The zero value of a field selects its default.
type Options struct {
	// Home is the name of this entry, whose own jobs the Quotas admit.
	Home string
	// ReportInterval is the time between two usage reports.
	ReportInterval gypsumtide.Millis
	// EqualShare is the fraction of each limit that is divided equally between all
	// homes, whatever their demand.
	EqualShare float64
	// Seed makes the jitter reproducible; 0 selects a random seed.
	Seed uint64
}

const (
	defaultReportInterval = gypsumtide.Millis(200)
	// defaultEqualShare lets a home without earlier demand admit tasks at once. The
	// other homes cannot use what is reserved in this way.
	defaultEqualShare = 0.2
	// raiseDelay is the number of report intervals for which a home must have been
	// due a larger share before it uses it. By then the other homes have received
	// the demand that the share is computed from, and use smaller shares. One
	// interval passes until the next report; the others cover lost or late reports.
	raiseDelay = 3
	// reportDelay is the number of report intervals after which the other homes are
	// assumed to have received a report.
	reportDelay = 2
	// demandTimeConstant is the time constant over which demand is averaged. Job ids
	// spread a team's jobs evenly over the homes, so with a short one the shares
	// follow random fluctuations of demand and the homes together admit less than
	// the limit. With a long one the shares adapt slowly after jobs have moved to
	// another home.
	demandTimeConstant = gypsumtide.Millis(3000)
	// maxSilentReports is the number of report intervals without a report after which
	// the demand and the open tasks of a home count as 0. Until then, the share of a
	// failed home stays unused.
	maxSilentReports = 25
	// minDemand is the demand in tasks per second below which a team without open tasks
	// counts as idle.
	minDemand = 0.01
	// maxRetryAfter bounds the Retry-After before jitter, since demand changes within
	// seconds.
	maxRetryAfter = gypsumtide.Millis(10_000)
	// concurrencyRetryAfter is the Retry-After before jitter when the concurrency is
	// used up. It is a constant because it is unknown when an open task ends.
	concurrencyRetryAfter = gypsumtide.Millis(500)
)

// Quotas enforces rate and concurrency limits of teams across homes without a
// central counter. Each home uses its share of every limit: an equal part of the
// fraction EqualShare, and a part of the rest in proportion to its demand, as
// reported by all homes.
//
// If reports arrive within two intervals, the tasks that the homes together admit
// in any period are at most the sum of the rate times the period, one burst, half
// a second's worth of the rate for changes of demand, and for each home one task
// or one job larger than its share of the burst. Open tasks, which are admitted
// and not done, exceed the concurrency by at most one job for each other home. Both
// bounds are tested with random demand but not proven. Groups of homes that are
// partitioned from one another may each use up to the whole limit.
//
// It is not safe for concurrent use.
type Quotas struct {
	opts   Options
	config Config
	byName map[string]Limit
	limits map[string]*limitState
	teams  map[string]*team
	homes  map[string]*homeReport
	rng    *rand.Rand
}

// limitState holds a limit, this home's share of it and what the home has used.
type limitState struct {
	limit Limit
	// tokens is the content of the token bucket that enforces the rate. It is negative
	// after a job larger than the bucket.
	tokens     float64
	refilledAt gypsumtide.Millis
	// open counts this home's open tasks.
	open int
	// demands holds this home's demand in its last reports, the newest first. Shares
	// are computed from the oldest, which the other homes should have received: when the
	// demand of several homes grows at once, none may count its own before that of the
	// others.
	demands [reportDelay + 1]float64
	// peerDemand and peerOpen are the sums over the reports of the other homes.
	peerDemand float64
	peerOpen   int
	share      share
}

// team holds what this home has admitted for a team, or for a key of Config.Resolve.
type team struct {
	// chain holds the states of all limits that apply to the team.
	chain []*limitState
	open  int
	// ownKey is the key in Quotas.limits of a limit that only this team uses, empty if
	// there is none.
	ownKey string
	// demand measures the rate of the tasks that Admit was called for, admitted the rate
	// of those that it admitted.
	demand   meter
	admitted meter
}

// homeReport holds the last report of another home.
type homeReport struct {
	receivedAt gypsumtide.Millis
	usage      []wire.TeamUsage
}

// NewQuotas returns Quotas for one home that enforce the limits of cfg.
func NewQuotas(cfg Config, o Options, now gypsumtide.Millis) (*Quotas, error) {
	if o.ReportInterval <= 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.EqualShare <= 0 || o.EqualShare > 1 {
		o.EqualShare = defaultEqualShare
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	q := &Quotas{
		opts:  o,
		teams: map[string]*team{},
		homes: map[string]*homeReport{},
		rng:   rand.New(rand.NewPCG(o.Seed, 0)),
	}
	if err := q.Update(cfg, now); err != nil {
		return nil, err
	}
	return q, nil
}

// Update applies a changed configuration. Open tasks and used tokens stay counted.
// After an error the old limits stay in effect.
func (q *Quotas) Update(cfg Config, now gypsumtide.Millis) error {
	if err := cfg.Check(); err != nil {
		return fmt.Errorf("limit: update: %w", err)
	}
	old := q.limits
	q.config, q.limits, q.byName = cfg, map[string]*limitState{}, map[string]Limit{}
	for _, l := range cfg.Limits {
		q.byName[l.Name] = l
	}
	for name, t := range q.teams {
		t.chain, t.ownKey = q.chainOf(name, old, now)
		for _, s := range t.chain {
			s.open += t.open
		}
	}
	// Keep the state of limits that no active team uses.
	for key, s := range old {
		if l, ok := q.byName[key]; ok && q.limits[key] == nil {
			q.limits[key] = q.newState(l, s, now)
		}
	}
	q.recomputeShares(now, false)
	return nil
}

// resolveChain returns the states of the named limits and their parents, each once.
// New states take over tokens and shares from old.
func (q *Quotas) resolveChain(limitNames []string, old map[string]*limitState, now gypsumtide.Millis) (chain []*limitState) {
	seen := make(map[string]bool)
	for _, name := range limitNames {
		for name != "" && !seen[name] {
			seen[name] = true
			s := q.limits[name]
			if s == nil {
				s = q.newState(q.byName[name], old[name], now)
				q.limits[name] = s
			}
			chain = append(chain, s)
			name = s.limit.Parent
		}
	}
	return chain
}

// chainOf returns the states of a team's limit and its parents, and the key in
// Quotas.limits of a limit that only this team uses. New states take over tokens and
// shares from old.
func (q *Quotas) chainOf(teamKey string, old map[string]*limitState, now gypsumtide.Millis) (chain []*limitState, ownKey string) {
	if q.config.Resolve != nil {
		return q.resolveChain(q.config.Resolve(teamKey), old, now), ""
	}
	limit, listed := q.config.Teams[teamKey]
	key := limit
	if !listed {
		limit = q.config.Default
		// Each team of the default limit has a state of its own. The zero byte
		// distinguishes its key from the names of limits.
		key = limit + "\x00" + teamKey
		ownKey = key
	}
	for limit != "" {
		s := q.limits[key]
		if s == nil {
			s = q.newState(q.byName[limit], old[key], now)
			q.limits[key] = s
		}
		chain = append(chain, s)
		limit = s.limit.Parent
		key = limit
	}
	if len(chain) == 0 {
		ownKey = ""
	}
	return chain, ownKey
}

// newState returns a state of the limit with the tokens, the reported demand and the
// share of old. If old is nil, the bucket is full and the share is the smallest that
// this home can have. If old has no rate, the bucket is full as well.
func (q *Quotas) newState(l Limit, old *limitState, now gypsumtide.Millis) *limitState {
	if l.Burst == 0 {
		l.Burst = l.Rate
	}
	if old != nil {
		old.refill(now)
		s := &limitState{limit: l, tokens: old.tokens, refilledAt: now, demands: old.demands, share: old.share}
		if old.limit.Rate == 0 {
			// Without a rate, Admit charges tokens but refill adds none.
			s.tokens = s.bucketSize()
		}
		s.tokens = min(s.tokens, s.bucketSize())
		return s
	}
	initial := 1.0
	if n := len(q.homes) + 1; n > 1 {
		initial = q.opts.EqualShare / float64(n)
	}
	s := &limitState{limit: l, refilledAt: now, share: newShare(initial)}
	s.tokens = s.bucketSize()
	return s
}

// SetHomes sets the names of the entries that may be homes. The shares take them
// into account even before their first report.
func (q *Quotas) SetHomes(names []string, now gypsumtide.Millis) {
	for name := range q.homes {
		if !slices.Contains(names, name) {
			delete(q.homes, name)
		}
	}
	for _, name := range names {
		if q.homes[name] == nil && name != q.opts.Home {
			q.homes[name] = &homeReport{receivedAt: now}
		}
	}
	q.recomputeShares(now, false)
}

// ApplyReport stores the report of another home, which replaces its last one. A home
// that SetHomes did not name is added.
func (q *Quotas) ApplyReport(name string, usage []wire.TeamUsage, now gypsumtide.Millis) {
	report := q.homes[name]
	if report == nil {
		report = &homeReport{}
		q.homes[name] = report
	}
	report.receivedAt, report.usage = now, usage
	q.recomputeShares(now, false)
}

// NextReport starts a report interval and returns this home's report to the others.
// It must be called once for each interval.
func (q *Quotas) NextReport(now gypsumtide.Millis) []wire.TeamUsage {
	for _, s := range q.limits {
		copy(s.demands[1:], s.demands[:])
		s.demands[0] = 0
	}
	var usage []wire.TeamUsage
	for name, t := range q.teams {
		t.demand.decay(now)
		t.admitted.decay(now)
		if t.open == 0 && t.demand.rate < minDemand {
			q.forgetIdle(name, t, now)
			continue
		}
		for _, s := range t.chain {
			s.demands[0] += t.demand.rate
		}
		usage = append(usage, wire.TeamUsage{Team: name, Rate: t.admitted.rate, Open: t.open, Demand: t.demand.rate})
	}
	slices.SortFunc(usage, func(a, b wire.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	q.recomputeShares(now, true)
	return usage
}

// forgetIdle removes an idle team, so that names of idle teams do not accumulate. A team
// with a limit of its own is kept until the bucket is full. A limit without a rate never
// fills it again, so its teams stay.
func (q *Quotas) forgetIdle(teamKey string, t *team, now gypsumtide.Millis) {
	if t.ownKey != "" {
		s := q.limits[t.ownKey]
		if s.refill(now); s.tokens < s.bucketSize() {
			return
		}
		delete(q.limits, t.ownKey)
	}
	delete(q.teams, teamKey)
}

// recomputeShares computes this home's share of every limit, and starts a report
// interval if newInterval is set.
func (q *Quotas) recomputeShares(now gypsumtide.Millis, newInterval bool) {
	for _, s := range q.limits {
		s.peerDemand, s.peerOpen = 0, 0
	}
	for _, h := range q.homes {
		if now-h.receivedAt > maxSilentReports*q.opts.ReportInterval {
			continue
		}
		for _, u := range h.usage {
			for _, s := range q.team(u.Team, now).chain {
				s.peerDemand += u.Demand
				s.peerOpen += u.Open
			}
		}
	}
	n := float64(len(q.homes) + 1)
	for _, s := range q.limits {
		s.refill(now)
		target := 1 / n
		ownDemand := s.demands[reportDelay]
		if total := ownDemand + s.peerDemand; total > 0 {
			target = q.opts.EqualShare/n + (1-q.opts.EqualShare)*ownDemand/total
		}
		if newInterval {
			s.share.startInterval(target)
		} else {
			s.share.lowerTo(target)
		}
		s.tokens = min(s.tokens, s.bucketSize())
	}
}

// team returns the state of a team, which it creates if there is none.
func (q *Quotas) team(teamKey string, now gypsumtide.Millis) *team {
	t := q.teams[teamKey]
	if t == nil {
		t = &team{}
		t.chain, t.ownKey = q.chainOf(teamKey, nil, now)
		q.teams[teamKey] = t
	}
	return t
}

// Admit implements gypsumtide.Limiter. Every limit of the team's chain must admit
// the tasks; a refusal charges none of them.
func (q *Quotas) Admit(teamKey string, n int, now gypsumtide.Millis) gypsumtide.AdmissionDecision {
	if n <= 0 {
		return gypsumtide.Admitted()
	}
	t := q.team(teamKey, now)
	t.demand.add(n, now)
	for _, s := range t.chain {
		s.refill(now)
		if reason, wait := s.refusal(n); reason != "" {
			return gypsumtide.Refused(s.limit.Name, reason, q.jitter(wait))
		}
	}
	for _, s := range t.chain {
		s.tokens -= float64(n)
		s.open += n
	}
	t.open += n
	t.admitted.add(n, now)
	return gypsumtide.Admitted()
}

// Release implements gypsumtide.Limiter.
func (q *Quotas) Release(teamKey string, n int, _ gypsumtide.Millis) {
	t := q.teams[teamKey]
	if t == nil {
		return
	}
	n = min(n, t.open)
	t.open -= n
	for _, s := range t.chain {
		s.open -= n
	}
}

// Share returns this home's share of a limit, between 0 and 1. It returns 0 if no team
// has used the limit yet, and for the default limit, of which each team has its own
// state.
func (q *Quotas) Share(limit string) float64 {
	if s := q.limits[limit]; s != nil {
		return s.share.value
	}
	return 0
}

// jitter bounds a wait by maxRetryAfter and multiplies it by a random factor between
// 1 and 2, so that refused callers do not retry all at once. It keeps 0, which means
// that a retry cannot succeed.
func (q *Quotas) jitter(wait gypsumtide.Millis) gypsumtide.Millis {
	if wait <= 0 {
		return 0
	}
	wait = min(wait, maxRetryAfter)
	return wait + gypsumtide.Millis(q.rng.Int64N(int64(wait)+1))
}

// Check reports all errors in the configuration.
func (c Config) Check() error {
	var errs []error
	byName := map[string]Limit{}
	for _, l := range c.Limits {
		switch {
		case l.Name == "":
			errs = append(errs, errors.New("limit: the name must not be empty"))
		case byName[l.Name].Name != "":
			errs = append(errs, fmt.Errorf("limit %s: defined twice", l.Name))
		case !(l.Rate >= 0) || !(l.Burst >= 0) || l.Concurrency < 0 || math.IsInf(l.Rate+l.Burst, 1):
			errs = append(errs, fmt.Errorf("limit %s: rate, burst and concurrency must be finite and not negative", l.Name))
		}
		byName[l.Name] = l
	}
	for _, l := range c.Limits {
		if l.Parent != "" && byName[l.Parent].Name == "" {
			errs = append(errs, fmt.Errorf("limit %s: unknown parent %s", l.Name, l.Parent))
		}
		depth := 0
		for p := l.Parent; p != "" && depth <= len(c.Limits); p = byName[p].Parent {
			depth++
		}
		if depth > len(c.Limits) {
			errs = append(errs, fmt.Errorf("limit %s: its parents form a cycle", l.Name))
		}
	}
	for t, name := range c.Teams {
		if byName[name].Name == "" {
			errs = append(errs, fmt.Errorf("team %s: unknown limit %s", t, name))
		}
	}
	if c.Default != "" && byName[c.Default].Name == "" {
		errs = append(errs, fmt.Errorf("default: unknown limit %s", c.Default))
	}
	return errors.Join(errs...)
}
