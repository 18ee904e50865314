package object

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Actions of a Change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change describes an object that was added, removed or changed between two sets.
type Change struct {
	Action string        `json:"action"`
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Values []ValueChange `json:"values,omitempty"`
}

// ValueChange holds the JSON values of a key before and after a change.
type ValueChange struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the change as a single line.
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

// Diff returns the changes that turn a into b, ordered by kind and name.
func Diff(a, b *Set) []Change {
	changes := diffKind(nil, KindService, a.services, b.services)
	changes = diffKind(changes, KindPool, a.pools, b.pools)
	changes = diffKind(changes, KindLimit, a.limits, b.limits)
	changes = diffKind(changes, KindRoute, a.routes, b.routes)
	changes = diffKind(changes, KindTeam, a.teams, b.teams)
	return diffKind(changes, KindEvacuation, a.evacuations, b.evacuations)
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
	a, b := encodeValues(before), encodeValues(after)
	var out []ValueChange
	for _, key := range slices.Sorted(maps.Keys(a)) {
		if string(a[key]) != string(b[key]) {
			out = append(out, ValueChange{Key: key, Before: string(a[key]), After: string(b[key])})
		}
	}
	return out
}

// encodeValues returns the JSON value of each key of an object. The error of
// json.Marshal is ignored because every kind of object can be encoded.
func encodeValues(o any) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	data, err := json.Marshal(o)
	if err != nil {
		return values
	}
	_ = json.Unmarshal(data, &values)
	return values
}
