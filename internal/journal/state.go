package journal

import (
	"fmt"

	"gypsumtide/internal/wire"
)

// idWindow is the number of most recent record ids that readers remember. It
// limits the ids in a snapshot to 64 KiB. A repeated record with an older id is
// applied again, and the state machine rejects it by its base revision or epoch.
const idWindow = 4096

// seenIDs is the set of the most recent record ids. Each snapshot includes it,
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

// add adds the id and reports whether it was new.
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

// snapshotState is the encoded body of a snapshot.
type snapshotState struct {
	IDs   []ID   `cbor:"1,keyasint,omitempty"`
	State []byte `cbor:"2,keyasint,omitempty"`
}

func encodeState(ids *seenIDs, stateMachine StateMachine) ([]byte, error) {
	state, err := stateMachine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("journal: encode snapshot: %w", err)
	}
	return wire.Marshal(snapshotState{IDs: ids.order, State: state})
}

func decodeState(data []byte) (snapshotState, error) {
	var s snapshotState
	if err := wire.Unmarshal(data, &s); err != nil {
		return snapshotState{}, fmt.Errorf("journal: decode snapshot: %w", err)
	}
	return s, nil
}
