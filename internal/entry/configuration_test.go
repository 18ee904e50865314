package entry

import (
	"testing"

	"gypsumtide/internal/wire"
)

// Guards against sending an agent a delta from a revision that it does not have,
// and against sending a revision to an agent that has it or a later one.
func TestConfigMessage(t *testing.T) {
	full := &wire.Config{Revision: 5}
	delta := &wire.Config{Revision: 5, Base: 4}
	m := &configMessages{revision: 5, full: full, delta: delta}
	for reported, want := range map[uint64]*wire.Config{0: full, 3: full, 4: delta, 5: nil, 6: nil} {
		if got := m.messageFor(reported); got != want {
			t.Errorf("agent with revision %d: got %v, want %v", reported, got, want)
		}
	}
	if got := (&configMessages{revision: 5, full: full}).messageFor(4); got != full {
		t.Errorf("entry without the previous revision: got %v, want the full configuration", got)
	}
}
