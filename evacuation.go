package gypsumtide

import "slices"

// Evacuations is the set of availability zones in which no task may be started.
type Evacuations struct {
	// Version is the offset of the operator's log up to which the set was read; 0 means
	// that it was never read. Of two sets, the one with the higher version is newer.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Zones lists the evacuated zones in ascending order.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// Contains reports whether the zone is evacuated.
func (e Evacuations) Contains(zone string) bool { return slices.Contains(e.Zones, zone) }

// Newer reports whether e is newer than o.
func (e Evacuations) Newer(o Evacuations) bool { return e.Version > o.Version }

// EvacuationChange is the begin or the end of the evacuation of a zone.
type EvacuationChange struct {
	Zone      string
	Evacuated bool
}

// Apply returns the set of the given version that results from the changes to e. The zones of
// e must be in ascending order, and those of the result are.
func (e Evacuations) Apply(changes []EvacuationChange, version uint64) Evacuations {
	zones := slices.Clone(e.Zones)
	for _, c := range changes {
		i, found := slices.BinarySearch(zones, c.Zone)
		switch {
		case c.Evacuated && !found:
			zones = slices.Insert(zones, i, c.Zone)
		case !c.Evacuated && found:
			zones = slices.Delete(zones, i, i+1)
		}
	}
	return Evacuations{Version: version, Zones: zones}
}

// SameZones reports whether the same zones are evacuated in e and o.
func (e Evacuations) SameZones(o Evacuations) bool { return slices.Equal(e.Zones, o.Zones) }
