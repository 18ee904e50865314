package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtide/internal/wire"
)

// member is an agent prepared for ranking.
type member struct {
	incarnation string
	zone        string
	rack        string
	hash        uint64
}

func newMember(rec wire.AgentRecord) member {
	return member{incarnation: rec.Incarnation, zone: rec.Zone, rack: rec.Rack, hash: xxhash.Sum64String(rec.Name)}
}

// place is the place of an agent in the order of candidates: round robin over
// the availability zones, within a zone over the racks, within a rack by
// rendezvous hash. An agent that joins never improves the place of another one.
type place struct {
	m        *member
	score    uint64
	rackRank int
	zoneRank int
}

func newPlace(id uint64, m *member) place { return place{m: m, score: mix(m.hash ^ id)} }

func compareInRack(a, b place) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.m.incarnation, b.m.incarnation)
}

func compareInZone(a, b place) int {
	if c := cmp.Compare(a.rackRank, b.rackRank); c != 0 {
		return c
	}
	return compareInRack(a, b)
}

func comparePlaces(a, b place) int {
	if c := cmp.Compare(a.zoneRank, b.zoneRank); c != 0 {
		return c
	}
	return compareInZone(a, b)
}

// groups holds the members by availability zone and rack.
type groups [][][]member

func group(members []member) groups {
	var out groups
	zones, racks := map[string]int{}, map[[2]string]int{}
	for _, m := range members {
		z, ok := zones[m.zone]
		if !ok {
			z = len(out)
			zones[m.zone] = z
			out = append(out, nil)
		}
		k := [2]string{m.zone, m.rack}
		r, ok := racks[k]
		if !ok {
			r = len(out[z])
			racks[k] = r
			out[z] = append(out[z], nil)
		}
		out[z][r] = append(out[z][r], m)
	}
	return out
}

// firstPlaces returns the first k places for an id.
func (g groups) firstPlaces(id uint64, k int) []place {
	var all []place
	for _, racks := range g {
		zone := firstInZone(id, racks, k)
		for i := range zone {
			zone[i].zoneRank = i
		}
		all = append(all, zone...)
	}
	slices.SortFunc(all, comparePlaces)
	return all[:min(k, len(all))]
}

func firstInZone(id uint64, racks [][]member, k int) []place {
	first := newTop(k, compareInZone)
	for _, members := range racks {
		// Each rack adds one agent before any rack adds a second one.
		if len(racks) >= k {
			first.add(best(id, members))
			continue
		}
		rack := newTop(k, compareInRack)
		for i := range members {
			rack.add(newPlace(id, &members[i]))
		}
		for i, p := range rack.places {
			p.rackRank = i
			first.add(p)
		}
	}
	return first.places
}

func best(id uint64, members []member) place {
	first := newPlace(id, &members[0])
	for i := range members[1:] {
		if p := newPlace(id, &members[i+1]); compareInRack(p, first) < 0 {
			first = p
		}
	}
	return first
}

// top keeps the first k places in order.
type top struct {
	k       int
	compare func(a, b place) int
	places  []place
}

func newTop(k int, compare func(a, b place) int) top { return top{k: k, compare: compare} }

func (t *top) add(p place) {
	n := len(t.places)
	if n == t.k && t.compare(p, t.places[n-1]) > 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(t.places, p, t.compare)
	if n == t.k {
		t.places = t.places[:n-1]
	}
	t.places = slices.Insert(t.places, i, p)
}

// position returns how many of the ranked places would be before a member that
// joins them. Places behind it may shift, but no place before it does.
func position(id uint64, m *member, ranked []place) int {
	a := newPlace(id, m)
	for _, p := range ranked {
		if p.m.zone == m.zone && p.m.rack == m.rack && compareInRack(p, a) < 0 {
			a.rackRank++
		}
	}
	for _, p := range ranked {
		if p.m.zone == m.zone && compareInZone(p, a) < 0 {
			a.zoneRank++
		}
	}
	n := 0
	for _, p := range ranked {
		if comparePlaces(p, a) < 0 {
			n++
		}
	}
	return n
}

// candidateCount returns how many agents a submission of n tasks may use.
func candidateCount(n int) int { return max(16, (n+7)/8) }
