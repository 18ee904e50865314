package object

import (
	"cmp"
	"fmt"
	"slices"
)

// ResolvedRoute is what applies to a service and a team.
type ResolvedRoute struct {
	service Service
	team    Team
	pool    Pool
	route   string
	limits  []Limit
}

// Service returns the service.
func (c ResolvedRoute) Service() Service { return c.service }

// Team returns the team.
func (c ResolvedRoute) Team() Team { return c.team }

// Pool returns the pool that serves.
func (c ResolvedRoute) Pool() Pool { return c.pool }

// Route returns the name of the route, or "" if none matches.
func (c ResolvedRoute) Route() string { return c.route }

// Limits returns the limits of the team, then those of the route, each with
// its parents.
func (c ResolvedRoute) Limits() []Limit { return c.limits }

// Route chooses the pool and the limits. A route that names the team precedes
// one that names none, then the higher priority wins.
func (s *Set) Route(service, team string) ResolvedRoute {
	c := ResolvedRoute{service: s.Service(service), team: s.Team(team)}
	pool, names := c.service.Pool, slices.Clone(c.team.Limits)
	if matching := s.matching(service, team); len(matching) > 0 {
		r := matching[0]
		c.route = r.Name
		pool = cmp.Or(r.Pool, pool)
		names = append(names, r.Limits...)
	}
	c.pool = s.pools[pool]
	c.limits = s.LimitChain(names...)
	return c
}

// RouteByName returns the route of that name and whether it exists.
func (s *Set) RouteByName(name string) (Route, bool) {
	r, ok := s.routes[name]
	return r, ok
}

// matching returns the routes of a service and team, the one that applies first.
func (s *Set) matching(service, team string) []Route {
	var out []Route
	for _, r := range s.byService[service] {
		if r.Team == "" || r.Team == team {
			out = append(out, r)
		}
	}
	return out
}

func specificity(r Route) int {
	if r.Team != "" {
		return 1
	}
	return 0
}

// Explanation tells which objects apply to a service and a team, and why.
type Explanation struct {
	Service Service `json:"service"`
	Team    Team    `json:"team"`
	Route   string  `json:"route"`
	Pool    Pool    `json:"pool"`
	Limits  []Limit `json:"limits"`
	// Reasons are sentences for operators.
	Reasons []string `json:"reasons"`
}

// Explain returns the same choice as Route with its reasons.
func (s *Set) Explain(service, team string) Explanation {
	c := s.Route(service, team)
	e := Explanation{Service: c.service, Team: c.team, Route: c.route, Pool: c.pool, Limits: c.limits}
	if e.Limits == nil {
		e.Limits = []Limit{}
	}
	if _, ok := s.services[service]; !ok {
		e.say("service %q is not defined: the defaults apply", service)
	}
	if _, ok := s.teams[team]; !ok {
		e.say("team %q is not defined: weight 1, no limits", team)
	}
	s.explainRoutes(&e, service, team)
	if r, ok := s.routes[c.route]; ok && r.Pool != "" {
		e.say("pool %s: named by route %s", c.pool.Name, c.route)
	} else {
		e.say("pool %s: the pool of the service", c.pool.Name)
	}
	s.explainLimits(&e)
	return e
}

func (e *Explanation) say(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (s *Set) explainRoutes(e *Explanation, service, team string) {
	matching := s.matching(service, team)
	for i, r := range matching {
		switch {
		case i == 0 && r.Team != "":
			e.say("route %s applies: names the service and the team, priority %d", r.Name, r.Priority)
		case i == 0:
			e.say("route %s applies: names the service, priority %d", r.Name, r.Priority)
		case specificity(r) < specificity(matching[0]):
			e.say("route %s matches, but route %s is more specific", r.Name, matching[0].Name)
		default:
			e.say("route %s matches, but route %s has a higher priority (%d, not %d)", r.Name, matching[0].Name, matching[0].Priority, r.Priority)
		}
	}
	if len(matching) == 0 {
		e.say("no route matches")
	}
}

func (s *Set) explainLimits(e *Explanation) {
	for _, l := range e.Limits {
		switch {
		case slices.Contains(e.Team.Limits, l.Name):
			e.say("limit %s: named by team %s", l.Name, e.Team.Name)
		case slices.Contains(s.routes[e.Route].Limits, l.Name):
			e.say("limit %s: named by route %s", l.Name, e.Route)
		default:
			for _, child := range e.Limits {
				if child.Parent == l.Name {
					e.say("limit %s: parent of limit %s", l.Name, child.Name)
					break
				}
			}
		}
	}
	if len(e.Limits) == 0 {
		e.say("no limits apply")
	}
}
