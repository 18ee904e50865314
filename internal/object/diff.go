package object

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// The kinds of changes.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is a difference between two sets.
type Change struct {
	Action string        `json:"action"`
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Values []ValueChange `json:"values,omitempty"`
}

// ValueChange are the values of a key before and after a change, in JSON.
type ValueChange struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the change in one line.
func (c Change) String() string {
	parts := make([]string, 0, len(c.Values))
	for _, v := range c.Values {
		parts = append(parts, fmt.Sprintf("%s %s -> %s", v.Key, v.Before, v.After))
	}
	line := fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name)
	if len(parts) > 0 {
		line += ": " + strings.Join(parts, ", ")
	}
	return line
}

// Diff returns the changes that lead from a to b, by kind and name.
func Diff(a, b *Set) []Change {
	changes := diffKind(nil, KindService, a.services, b.services)
	changes = diffKind(changes, KindPool, a.pools, b.pools)
	changes = diffKind(changes, KindLimit, a.limits, b.limits)
	changes = diffKind(changes, KindRoute, a.routes, b.routes)
	return diffKind(changes, KindTeam, a.teams, b.teams)
}

func diffKind[T any](changes []Change, kind string, a, b map[string]T) []Change {
	names := slices.Sorted(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		before, inA := a[name]
		after, inB := b[name]
		switch {
		case !inA:
			changes = append(changes, Change{Action: Added, Kind: kind, Name: name})
		case !inB:
			changes = append(changes, Change{Action: Removed, Kind: kind, Name: name})
		default:
			if values := diffValues(before, after); len(values) > 0 {
				changes = append(changes, Change{Action: Changed, Kind: kind, Name: name, Values: values})
			}
		}
	}
	return changes
}

func diffValues(before, after any) []ValueChange {
	a, b := jsonValues(before), jsonValues(after)
	var out []ValueChange
	for _, key := range slices.Sorted(maps.Keys(a)) {
		if string(a[key]) != string(b[key]) {
			out = append(out, ValueChange{Key: key, Before: string(a[key]), After: string(b[key])})
		}
	}
	return out
}

// jsonValues returns an object's values by key. Objects always encode.
func jsonValues(o any) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	data, err := json.Marshal(o)
	if err != nil {
		return values
	}
	_ = json.Unmarshal(data, &values)
	return values
}
