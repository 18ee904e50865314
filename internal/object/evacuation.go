package object

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gypsumtide"
)

// EvacuatedZone is an availability zone in which no task may start.
type EvacuatedZone struct {
	Zone string `cbor:"1,keyasint" json:"availability-zone"`
	// Revision is the first revision of those without interruption that evacuate the zone,
	// and Time the time of its publish by the publisher's clock. A node that restored an
	// older snapshot without this information has those of a later revision.
	Revision uint64            `cbor:"2,keyasint" json:"revision"`
	Time     gypsumtide.Millis `cbor:"3,keyasint" json:"time"`
}

// EvacuatedZones returns the evacuated zones, sorted by name.
func (r Revision) EvacuatedZones() []EvacuatedZone { return slices.Clone(r.evacuated) }

// Evacuations returns the set of evacuated zones. Its version is the number of the newest
// revision that this process could parse.
func (r Revision) Evacuations() gypsumtide.Evacuations {
	e := gypsumtide.Evacuations{Version: r.evacuationsVersion}
	for _, z := range r.evacuated {
		e.Zones = append(e.Zones, z.Zone)
	}
	return e
}

// setEvacuated sets the evacuated zones from the objects of the revision. Zones that were
// evacuated before keep the revision of their begin.
func (r *Revision) setEvacuated(before []EvacuatedZone) {
	r.evacuated, r.evacuationsVersion = nil, r.number
	for _, zone := range r.set.evacuatedZones() {
		i, found := findEvacuated(before, zone)
		if found {
			r.evacuated = append(r.evacuated, before[i])
			continue
		}
		r.evacuated = append(r.evacuated, EvacuatedZone{Zone: zone, Revision: r.number, Time: r.time})
	}
}

// restoreEvacuated sets the evacuated zones from a snapshot. It skips those that are not in
// order or have no valid name.
func (r *Revision) restoreEvacuated(zones []EvacuatedZone) {
	r.evacuated = nil
	for _, z := range zones {
		if n := len(r.evacuated); checkName(z.Zone) != nil || n > 0 && z.Zone <= r.evacuated[n-1].Zone {
			continue
		}
		r.evacuated = append(r.evacuated, z)
		r.evacuationsVersion = max(r.evacuationsVersion, z.Revision)
	}
}

func findEvacuated(zones []EvacuatedZone, zone string) (int, bool) {
	return slices.BinarySearchFunc(zones, zone, func(z EvacuatedZone, name string) int { return strings.Compare(z.Zone, name) })
}

// AddEvacuation returns the text with an evacuation of the availability zone added. The
// object has the name of the zone.
func AddEvacuation(text []byte, zone string) ([]byte, error) {
	set, err := Parse(File{Name: "objects", Data: text})
	if err != nil {
		return nil, err
	}
	if slices.Contains(set.evacuatedZones(), zone) {
		return nil, fmt.Errorf("availability zone %s is already evacuated", zone)
	}
	added := fmt.Appendf(nil, "kind: %s\nname: %q\navailability-zone: %q\n", KindEvacuation, zone, zone)
	out := added
	if len(text) > 0 {
		out = Join([]File{{Data: text}, {Data: added}})
	}
	if _, err := Parse(File{Name: "objects", Data: out}); err != nil {
		return nil, err
	}
	return out, nil
}

var errNotOneDocument = errors.New("the evacuation is not a YAML document of its own that begins after a line ---; publish files without it")

// RemoveEvacuation returns the text without the evacuation of the availability zone. The
// rest of the text stays as it is.
func RemoveEvacuation(text []byte, zone string) ([]byte, error) {
	before, err := Parse(File{Name: "objects", Data: text})
	if err != nil {
		return nil, err
	}
	if !slices.Contains(before.evacuatedZones(), zone) {
		return nil, fmt.Errorf("availability zone %s is not evacuated", zone)
	}
	var kept []string
	for _, document := range splitDocuments(string(text)) {
		// A document may refer to others, so errors of a single one do not matter here.
		p := &parser{set: newSet(), positions: map[objectRef]position{}}
		p.parseFile(File{Name: "objects", Data: []byte(document)})
		if !slices.Contains(p.set.evacuatedZones(), zone) {
			kept = append(kept, document)
		}
	}
	out := []byte(strings.Join(kept, ""))
	after, err := Parse(File{Name: "objects", Data: out})
	if err != nil {
		return nil, errNotOneDocument
	}
	if changes := Diff(before, after); len(changes) != 1 || changes[0].Kind != KindEvacuation {
		return nil, errNotOneDocument
	}
	return out, nil
}

// splitDocuments splits a YAML text before each line that begins a document. Such a line
// begins with --- in the first column, where no other line may begin so.
func splitDocuments(text string) []string {
	var documents []string
	begin := 0
	for at := 0; at < len(text); {
		end := strings.IndexByte(text[at:], '\n') + 1
		if end == 0 {
			end = len(text) - at
		}
		line := strings.TrimRight(text[at:at+end], "\r\n")
		if at > begin && (line == "---" || strings.HasPrefix(line, "--- ") || strings.HasPrefix(line, "---\t")) {
			documents = append(documents, text[begin:at])
			begin = at
		}
		at += end
	}
	return append(documents, text[begin:])
}
