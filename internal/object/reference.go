package object

import (
	"slices"
	"strings"
)

// checkReferences checks what the objects say about one another.
func (p *parser) checkReferences() {
	s := p.set
	for _, o := range s.Services() {
		p.refer(ref{KindService, o.Name}, "pool", KindPool, o.Pool)
	}
	for _, o := range s.Limits() {
		p.refer(ref{KindLimit, o.Name}, "parent", KindLimit, o.Parent)
		p.checkCycle(o)
	}
	for _, o := range s.Teams() {
		p.refer(ref{KindTeam, o.Name}, "limits", KindLimit, o.Limits...)
	}
	for _, o := range s.Routes() {
		from := ref{KindRoute, o.Name}
		p.refer(from, "service", KindService, o.Service)
		p.refer(from, "team", KindTeam, o.Team)
		p.refer(from, "pool", KindPool, o.Pool)
		p.refer(from, "limits", KindLimit, o.Limits...)
	}
	p.checkAmbiguous()
}

// refer reports the names that no object of the kind has.
func (p *parser) refer(from ref, key, kind string, names ...string) {
	for _, name := range names {
		if name == "" || p.set.has(kind, name) {
			continue
		}
		at := p.at[from]
		near := ""
		if len(p.errs) < maxHints {
			near = hint(name, p.set.names(kind))
		}
		p.fail(at.file, at.key(key), "%s %s: %s: there is no %s %q%s", from.kind, from.name, key, kind, name, near)
	}
}

const (
	// maxHints bounds the search for similar names, which compares each
	// missing name with all others.
	maxHints = 100
	// maxLimitDepth bounds the limits that one task is charged to.
	maxLimitDepth = 16
)

// checkCycle reports a cycle of parents once, at its first limit by name, and
// chains that are too long.
func (p *parser) checkCycle(o Limit) {
	path := []string{o.Name}
	for next := o.Parent; next != ""; next = p.set.limits[next].Parent {
		if next == o.Name {
			if slices.Min(path) == o.Name {
				at := p.at[ref{KindLimit, o.Name}]
				p.fail(at.file, at.key("parent"), "limit %s: parent: cycle %s", o.Name, strings.Join(append(path, next), " -> "))
			}
			return
		}
		if slices.Contains(path, next) {
			return
		}
		if len(path) == maxLimitDepth {
			at := p.at[ref{KindLimit, o.Name}]
			p.fail(at.file, at.key("parent"), "limit %s: parent: more than %d limits in a chain", o.Name, maxLimitDepth)
			return
		}
		path = append(path, next)
	}
}

// checkAmbiguous reports routes between which neither team nor priority decides.
func (p *parser) checkAmbiguous() {
	type choice struct {
		service, team string
		priority      int
	}
	first := map[choice]string{}
	for _, o := range p.set.Routes() {
		if o.Service == "" {
			continue
		}
		c := choice{o.Service, o.Team, o.Priority}
		if other, ok := first[c]; ok {
			at := p.at[ref{KindRoute, o.Name}]
			p.fail(at.file, at.line, "route %s: same service, team and priority as route %s", o.Name, other)
			continue
		}
		first[c] = o.Name
	}
}
