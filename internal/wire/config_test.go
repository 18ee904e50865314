package wire

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an agent that ends up with a text other than the published one.
func TestConfigText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 20)
		from, to := text.Draw(t, "from"), text.Draw(t, "to")
		got, err := ConfigDelta(4, from, 5, to).Text(4, from)
		if err != nil || !bytes.Equal(got, to) {
			t.Fatalf("delta: got %q, %v, want %q", got, err, to)
		}
		whole, err := FullConfig(5, to)
		if err != nil {
			t.Fatal(err)
		}
		if got, err = whole.Text(0, nil); err != nil || !bytes.Equal(got, to) {
			t.Fatalf("full: got %q, %v, want %q", got, err, to)
		}
	})
}

// Guards against a delta that is applied to another revision than its base, or to a
// text shorter than its prefix and suffix.
func TestConfigDeltaBase(t *testing.T) {
	c := ConfigDelta(4, []byte("a: 1\nb: 2\n"), 5, []byte("a: 1\nb: 3\n"))
	for _, r := range []struct {
		revision uint64
		text     string
	}{{3, "a: 1\nb: 2\n"}, {5, "a: 1\nb: 2\n"}, {0, ""}, {4, "a: 1"}} {
		if _, err := c.Text(r.revision, []byte(r.text)); !errors.Is(err, ErrConfigBaseMismatch) {
			t.Errorf("revision %d, text %q: got %v, want ErrConfigBaseMismatch", r.revision, r.text, err)
		}
	}
}
