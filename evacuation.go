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
