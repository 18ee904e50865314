package journal

import (
	"fmt"

	"gypsumtide/internal/wire"
)

// idWindow is the number of newest record ids that readers remember. It bounds
// a snapshot's ids to 64 KiB. A repeat that is older reaches the fold again,
// whose own rules (base revision, epoch) reject it.
const idWindow = 4096

// seenIDs is the set of the newest record ids. It is part of each snapshot,
// because readers that start from a snapshot must ignore the same repeats.
type seenIDs struct {
	order []ID
	known map[ID]struct{}
}

func newSeenIDs(order []ID) *seenIDs {
	s := &seenIDs{known: make(map[ID]struct{}, len(order))}
	for _, id := range order {
		s.add(id)
	}
	return s
}

// add reports false if the id was known.
func (s *seenIDs) add(id ID) bool {
	if _, ok := s.known[id]; ok {
		return false
	}
	s.known[id] = struct{}{}
	s.order = append(s.order, id)
	if len(s.order) > idWindow {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

func (s *seenIDs) has(id ID) bool {
	_, ok := s.known[id]
	return ok
}

// snapshotState is the body of a snapshot.
type snapshotState struct {
	IDs  []ID   `cbor:"1,keyasint,omitempty"`
	Fold []byte `cbor:"2,keyasint,omitempty"`
}

func encodeState(ids *seenIDs, fold StateMachine) ([]byte, error) {
	state, err := fold.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("journal: snapshot fold: %w", err)
	}
	return wire.Marshal(snapshotState{IDs: ids.order, Fold: state})
}

func decodeState(data []byte) (snapshotState, error) {
	var s snapshotState
	if err := wire.Unmarshal(data, &s); err != nil {
		return snapshotState{}, fmt.Errorf("journal: decode snapshot: %w", err)
	}
	return s, nil
}
