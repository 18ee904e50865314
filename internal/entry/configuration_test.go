package entry

import (
	"testing"

	"gypsumtide/internal/wire"
)

// Guards against an agent that gets a change of a text that it does not have,
// and against a second copy to one that has the revision.
func TestConfigMessage(t *testing.T) {
	whole := &wire.Config{Revision: 5}
	change := &wire.Config{Revision: 5, Base: 4}
	m := &configMessages{revision: 5, whole: whole, change: change}
	for reported, want := range map[uint64]*wire.Config{0: whole, 3: whole, 4: change, 5: nil, 6: nil} {
		if got := m.message(reported); got != want {
			t.Errorf("agent with revision %d: got %v, want %v", reported, got, want)
		}
	}
	if got := (&configMessages{revision: 5, whole: whole}).message(4); got != whole {
		t.Errorf("without the revision before: got %v, want the whole text", got)
	}
}
