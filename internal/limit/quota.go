// Package limit decides which jobs are admitted: quotas of teams that hold
// across entries, admission by deadline, and a budget for retries.
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

// Limit bounds the tasks of the teams and limits below it. A zero Rate or
// Concurrency means no bound.
type Limit struct {
	Name string
	// Parent is a limit that applies as well, empty for none.
	Parent string
	// Rate is in tasks per second, all homes together.
	Rate float64
	// Burst is the number of tasks that may be admitted at once after idle time; 0 means one second's worth.
	Burst float64
	// Concurrency bounds the tasks admitted and not done, all homes together.
	Concurrency int
}

// Config is the set of limits in force.
type Config struct {
	Limits []Limit
	// Teams names the limit of each team.
	Teams map[string]string
	// Default is the limit of teams that are not listed, each on its own count; empty for none.
	Default string
	// Resolve replaces Teams and Default if it is set. It names the limits of a
	// key that Admit is called with, for keys that are more than a team. All
	// keys that name a limit share it.
	Resolve func(key string) []string
}

// Options configure Quotas. The zero value of a field selects its default.
type Options struct {
	// Home is the name of this entry.
	Home string
	// ReportInterval is the time between two usage reports.
	ReportInterval gypsumtide.Millis
	// EqualShare is the part of each limit that all homes divide equally, whatever their demand.
	EqualShare float64
	// Seed makes the jitter repeatable; 0 takes a random seed.
	Seed uint64
}

const (
	defaultReportInterval = gypsumtide.Millis(200)
	defaultFloor          = 0.2
	// raiseDelay is the number of report intervals for which a larger share
	// must have been due before it is used. By then the other homes have heard
	// of the demand that it rests on and use their smaller shares. One interval
	// passes until the next report, the others cover lost or late ones.
	raiseDelay = 3
	// heardDelay is the number of report intervals after which the other homes
	// have heard of a report.
	heardDelay = 2
	// demandTime is the time constant over which demand is averaged. Ids spread
	// a team's jobs evenly over the homes, so a short one follows chance: with
	// jobs of 200 tasks at twice a limit of 1,000/s, 3 homes admitted 553/s with
	// 500 ms, 676/s with 1 s, 796/s with 3 s and 840/s with 10 s. A long one is
	// slow to follow a handover.
	demandTime = gypsumtide.Millis(3000)
	// silentReports is the number of report intervals after which the demand of a
	// silent home counts as 0.
	silentReports = 25
	// minDemand in tasks per second is the demand below which a team counts as idle.
	minDemand = 0.01
	// maxWait bounds a Retry-After before jitter, since demand changes within seconds.
	maxWait = gypsumtide.Millis(10_000)
	// concurrencyWait is the Retry-After before jitter when the open tasks are
	// at their bound: when one of them ends is unknown.
	concurrencyWait = gypsumtide.Millis(500)
)

// Quotas enforces rate and concurrency limits of teams across homes without a
// central counter. Each home uses its share of every limit: an equal part of
// the floor, and the rest in proportion to the demand reported by all homes.
//
// If reports arrive within two intervals, the homes together admit in any
// period at most the rate, one burst, half a second's worth for changes of
// demand, and for each home one task or one job larger than its part of the
// burst. Open tasks exceed the concurrency by at most one job for each other
// home. Both bounds are tested with random demand and are not proven. Groups of
// homes that cannot hear one another each use up to the whole limit.
//
// It is not safe for concurrent use.
type Quotas struct {
	o      Options
	config Config
	byName map[string]Limit
	limits map[string]*state
	teams  map[string]*team
	homes  map[string]*home
	rng    *rand.Rand
}

// state is a limit with what this home has used of it.
type state struct {
	limit  Limit
	tokens float64
	filled gypsumtide.Millis
	open   int
	// demands holds the demand of this home in its last reports, the newest
	// first. The last one counts, since all homes have heard of it: homes whose
	// demand grows at once must not each count their own before that of the others.
	demands [heardDelay + 1]float64
	// peerDemand and peerOpen sum what the other homes reported.
	peerDemand float64
	peerOpen   int
	share      share
}

type team struct {
	chain []*state
	open  int
	// own is the key of a limit that only this team uses, empty if it is shared.
	own    string
	asked  meter
	passed meter
}

// home is what another home reported last.
type home struct {
	heard gypsumtide.Millis
	usage []wire.TeamUsage
}

// NewQuotas returns the limits of cfg for one home.
func NewQuotas(cfg Config, o Options, now gypsumtide.Millis) (*Quotas, error) {
	if o.ReportInterval <= 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.EqualShare <= 0 || o.EqualShare > 1 {
		o.EqualShare = defaultFloor
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	q := &Quotas{
		o:     o,
		teams: map[string]*team{},
		homes: map[string]*home{},
		rng:   rand.New(rand.NewPCG(o.Seed, 0)),
	}
	if err := q.Update(cfg, now); err != nil {
		return nil, err
	}
	return q, nil
}

// Update puts a changed configuration into force. What was admitted and the
// tokens that were used stay counted. An error leaves the old limits in force.
func (q *Quotas) Update(cfg Config, now gypsumtide.Millis) error {
	if err := cfg.Check(); err != nil {
		return fmt.Errorf("limit: update: %w", err)
	}
	old := q.limits
	q.config, q.limits, q.byName = cfg, map[string]*state{}, map[string]Limit{}
	for _, l := range cfg.Limits {
		q.byName[l.Name] = l
	}
	for name, t := range q.teams {
		t.chain, t.own = q.chain(name, old, now)
		for _, s := range t.chain {
			s.open += t.open
		}
	}
	// A limit that no active team uses keeps what was used of it.
	for key, s := range old {
		if l, ok := q.byName[key]; ok && q.limits[key] == nil {
			q.limits[key] = q.newState(l, s, now)
		}
	}
	q.divide(now, false)
	return nil
}

// resolved returns the states of the named limits and their parents, each once.
func (q *Quotas) resolved(names []string, old map[string]*state, now gypsumtide.Millis) (chain []*state) {
	seen := make(map[string]bool)
	for _, name := range names {
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

// chain returns the states of a team's limit and its parents.
func (q *Quotas) chain(name string, old map[string]*state, now gypsumtide.Millis) (chain []*state, own string) {
	if q.config.Resolve != nil {
		return q.resolved(q.config.Resolve(name), old, now), ""
	}
	limit, listed := q.config.Teams[name]
	key := limit
	if !listed {
		limit = q.config.Default
		// No name of a limit has this form.
		key = limit + "\x00" + name
		own = key
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
		own = ""
	}
	return chain, own
}

// newState starts with a full bucket and the smallest share, or continues an old state.
func (q *Quotas) newState(l Limit, old *state, now gypsumtide.Millis) *state {
	if l.Burst == 0 {
		l.Burst = l.Rate
	}
	if old != nil {
		old.fill(now)
		s := &state{limit: l, tokens: old.tokens, filled: now, demands: old.demands, share: old.share}
		if old.limit.Rate == 0 {
			s.tokens = s.bucket()
		}
		s.tokens = min(s.tokens, s.bucket())
		return s
	}
	first := 1.0
	if n := len(q.homes) + 1; n > 1 {
		first = q.o.EqualShare / float64(n)
	}
	s := &state{limit: l, filled: now, share: newShare(first)}
	s.tokens = s.bucket()
	return s
}

// SetHomes names the other entries that may be homes. The shares count them
// even before their first report.
func (q *Quotas) SetHomes(names []string, now gypsumtide.Millis) {
	for name := range q.homes {
		if !slices.Contains(names, name) {
			delete(q.homes, name)
		}
	}
	for _, name := range names {
		if q.homes[name] == nil && name != q.o.Home {
			q.homes[name] = &home{heard: now}
		}
	}
	q.divide(now, false)
}

// ApplyReport takes the usage that another home sent. It replaces the report before.
func (q *Quotas) ApplyReport(name string, usage []wire.TeamUsage, now gypsumtide.Millis) {
	h := q.homes[name]
	if h == nil {
		h = &home{}
		q.homes[name] = h
	}
	h.heard, h.usage = now, usage
	q.divide(now, false)
}

// NextReport returns what this home reports to the others, once for each report interval.
func (q *Quotas) NextReport(now gypsumtide.Millis) []wire.TeamUsage {
	for _, s := range q.limits {
		copy(s.demands[1:], s.demands[:])
		s.demands[0] = 0
	}
	var usage []wire.TeamUsage
	for name, t := range q.teams {
		t.asked.decay(now)
		t.passed.decay(now)
		if t.open == 0 && t.asked.rate < minDemand {
			q.drop(name, t, now)
			continue
		}
		for _, s := range t.chain {
			s.demands[0] += t.asked.rate
		}
		usage = append(usage, wire.TeamUsage{Team: name, Rate: t.passed.rate, Open: t.open, Demand: t.asked.rate})
	}
	slices.SortFunc(usage, func(a, b wire.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	q.divide(now, true)
	return usage
}

// drop forgets an idle team, so that memory follows the number of active teams.
// A limit of its own is kept until its bucket is full.
func (q *Quotas) drop(name string, t *team, now gypsumtide.Millis) {
	if t.own != "" {
		s := q.limits[t.own]
		if s.fill(now); s.tokens < s.bucket() {
			return
		}
		delete(q.limits, t.own)
	}
	delete(q.teams, name)
}

// divide computes this home's share of every limit. Next starts a report interval.
func (q *Quotas) divide(now gypsumtide.Millis, next bool) {
	for _, s := range q.limits {
		s.peerDemand, s.peerOpen = 0, 0
	}
	for _, h := range q.homes {
		if now-h.heard > silentReports*q.o.ReportInterval {
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
		s.fill(now)
		due := 1 / n
		own := s.demands[heardDelay]
		if total := own + s.peerDemand; total > 0 {
			due = q.o.EqualShare/n + (1-q.o.EqualShare)*own/total
		}
		if next {
			s.share.next(due)
		} else {
			s.share.set(due)
		}
		s.tokens = min(s.tokens, s.bucket())
	}
}

func (q *Quotas) team(name string, now gypsumtide.Millis) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{}
		t.chain, t.own = q.chain(name, nil, now)
		q.teams[name] = t
	}
	return t
}

// Admit implements gypsumtide.Limiter. Every limit of the team's chain must
// have room; a refusal charges none of them.
func (q *Quotas) Admit(name string, n int, now gypsumtide.Millis) gypsumtide.AdmissionDecision {
	if n <= 0 {
		return gypsumtide.Admitted()
	}
	t := q.team(name, now)
	t.asked.add(n, now)
	for _, s := range t.chain {
		s.fill(now)
		if reason, wait := s.refusal(n); reason != "" {
			return gypsumtide.Refused(s.limit.Name, reason, q.jitter(wait))
		}
	}
	for _, s := range t.chain {
		s.tokens -= float64(n)
		s.open += n
	}
	t.open += n
	t.passed.add(n, now)
	return gypsumtide.Admitted()
}

// Done implements gypsumtide.Limiter.
func (q *Quotas) Done(name string, n int, _ gypsumtide.Millis) {
	t := q.teams[name]
	if t == nil {
		return
	}
	n = min(n, t.open)
	t.open -= n
	for _, s := range t.chain {
		s.open -= n
	}
}

// Share returns this home's part of a limit, between 0 and 1, or 0 if no team uses the limit.
func (q *Quotas) Share(limit string) float64 {
	if s := q.limits[limit]; s != nil {
		return s.share.value
	}
	return 0
}

// jitter spreads a wait of up to maxWait over one to two times its length, so
// that refused callers do not return together. It keeps 0, which means never.
func (q *Quotas) jitter(wait gypsumtide.Millis) gypsumtide.Millis {
	if wait <= 0 {
		return 0
	}
	wait = min(wait, maxWait)
	return wait + gypsumtide.Millis(q.rng.Int64N(int64(wait)+1))
}

// Check returns every error in the limits.
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
		steps := 0
		for p := l.Parent; p != "" && steps <= len(c.Limits); p = byName[p].Parent {
			steps++
		}
		if steps > len(c.Limits) {
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
