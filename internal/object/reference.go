package object

import (
	"slices"
	"strings"
)

// checkReferences reports references to missing objects, invalid parents of limits
// and ambiguous routes.
func (p *parser) checkReferences() {
	s := p.set
	for _, o := range s.Services() {
		p.checkReference(objectRef{KindService, o.Name}, "pool", KindPool, o.Pool)
	}
	for _, o := range s.Limits() {
		p.checkReference(objectRef{KindLimit, o.Name}, "parent", KindLimit, o.Parent)
		p.checkParents(o)
	}
	for _, o := range s.Teams() {
		p.checkReference(objectRef{KindTeam, o.Name}, "limits", KindLimit, o.Limits...)
	}
	for _, o := range s.Routes() {
		from := objectRef{KindRoute, o.Name}
		p.checkReference(from, "service", KindService, o.Service)
		p.checkReference(from, "team", KindTeam, o.Team)
		p.checkReference(from, "pool", KindPool, o.Pool)
		p.checkReference(from, "limits", KindLimit, o.Limits...)
	}
	p.checkAmbiguousRoutes()
	p.checkEvacuations()
}

// checkEvacuations reports a second evacuation of an availability zone. The removal of one
// of them would otherwise not end the evacuation.
func (p *parser) checkEvacuations() {
	first := map[string]string{}
	for _, o := range p.set.Evacuations() {
		if o.AvailabilityZone == "" {
			continue
		}
		if other, ok := first[o.AvailabilityZone]; ok {
			at := p.positions[objectRef{KindEvacuation, o.Name}]
			p.addError(at.file, at.keyLine("availability-zone"), "evacuation %s: same availability zone as evacuation %s", o.Name, other)
			continue
		}
		first[o.AvailabilityZone] = o.Name
	}
}

// checkReference reports each name for which no object of the kind exists. Empty
// names are ignored.
func (p *parser) checkReference(source objectRef, key, kind string, names ...string) {
	for _, name := range names {
		if name == "" || p.set.has(kind, name) {
			continue
		}
		at := p.positions[source]
		suggestion := ""
		if len(p.errs) < maxSuggestions {
			suggestion = suggest(name, p.set.names(kind))
		}
		p.addError(at.file, at.keyLine(key), "%s %s: %s: there is no %s %q%s", source.kind, source.name, key, kind, name, suggestion)
	}
}

const (
	// maxSuggestions is the number of errors after which no similar names are suggested
	// for missing objects, because each missing name is compared with all existing ones.
	maxSuggestions = 100
	// maxLimitDepth is the maximum number of limits in a chain of a limit and its
	// parents. It bounds the number of limits that a task is charged to.
	maxLimitDepth = 16
)

// checkParents reports a cycle of parents, or a chain of parents that is too long. A
// cycle of up to maxLimitDepth limits is reported once, at its first limit by name. A
// longer one is reported as a chain that is too long, at each of its limits.
func (p *parser) checkParents(o Limit) {
	path := []string{o.Name}
	for next := o.Parent; next != ""; next = p.set.limits[next].Parent {
		if next == o.Name {
			if slices.Min(path) == o.Name {
				at := p.positions[objectRef{KindLimit, o.Name}]
				p.addError(at.file, at.keyLine("parent"), "limit %s: parent: cycle %s", o.Name, strings.Join(append(path, next), " -> "))
			}
			return
		}
		if slices.Contains(path, next) {
			return
		}
		if len(path) == maxLimitDepth {
			at := p.positions[objectRef{KindLimit, o.Name}]
			p.addError(at.file, at.keyLine("parent"), "limit %s: parent: more than %d limits in a chain", o.Name, maxLimitDepth)
			return
		}
		path = append(path, next)
	}
}

// checkAmbiguousRoutes reports routes with the same service, team and priority, as
// nothing determines which of them applies.
func (p *parser) checkAmbiguousRoutes() {
	type routeKey struct {
		service, team string
		priority      int
	}
	first := map[routeKey]string{}
	for _, o := range p.set.Routes() {
		if o.Service == "" {
			continue
		}
		key := routeKey{o.Service, o.Team, o.Priority}
		if other, ok := first[key]; ok {
			at := p.positions[objectRef{KindRoute, o.Name}]
			p.addError(at.file, at.line, "route %s: same service, team and priority as route %s", o.Name, other)
			continue
		}
		first[key] = o.Name
	}
}
