package journal_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"gypsumtide"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/object"
	"gypsumtide/internal/standin/platformlog"
)

const stream = "configuration"

// direct calls a handler without a connection.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// reader is one node that folds the configuration stream.
type reader struct {
	*journal.Follower
	publication *object.Publication
	// position and revision are the highest seen.
	position, revision uint64
}

// truth is what a reader of the whole stream knows at an offset.
type truth struct {
	revision uint64
	objects  string
}

// world holds a log, its readers, and the history that the log may have trimmed.
type world struct {
	log     *platformlog.Server
	client  *journal.Client
	readers []*reader
	// at holds the truth before each offset, bodies and ids the publishes that took effect.
	at     []truth
	seen   map[journal.ID]bool
	ids    []journal.ID
	texts  map[journal.ID][]byte
	winner map[uint64]journal.ID
}

func newWorld(readers int) *world {
	log := platformlog.New(platformlog.Settings{MaxRecordBytes: 1 << 24}, gypsumtide.NewSystemClock())
	w := &world{
		log:    log,
		client: journal.NewClient("http://log", &http.Client{Transport: direct{log.Handler()}}, 0),
		at:     []truth{{}},
		seen:   map[journal.ID]bool{},
		texts:  map[journal.ID][]byte{},
		winner: map[uint64]journal.ID{},
	}
	for range readers {
		w.readers = append(w.readers, w.newReader())
	}
	return w
}

func (w *world) newReader() *reader {
	p := object.NewPublication()
	return &reader{Follower: journal.New(w.client, stream, p, gypsumtide.NewSystemClock(), logr.Discard()), publication: p}
}

// append adds a record to the log; the truth after it is given.
func (w *world) append(data []byte, after truth) {
	w.log.Append(stream, data)
	w.at = append(w.at, after)
}

// publish appends a publish, or repeats an earlier one under its id.
func (w *world) publish(t *rapid.T, id journal.ID, base uint64) {
	text := fmt.Sprintf("# %s\n", id)
	body, err := object.Publish{ID: id, Base: base, Objects: []byte(text), Author: "a"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := journal.EncodeRecord(id, body)
	if err != nil {
		t.Fatal(err)
	}
	now := w.at[len(w.at)-1]
	if !w.seen[id] && base == now.revision {
		now = truth{revision: base + 1, objects: text}
		w.winner[base] = id
	}
	if !w.seen[id] {
		w.ids = append(w.ids, id)
	}
	w.seen[id], w.texts[id] = true, data
	w.append(data, now)
}

// check compares a reader with the truth at its position.
func (w *world) check(t *rapid.T, r *reader) {
	position := r.Position()
	var got truth
	r.View(func() {
		c := r.publication.Current()
		got = truth{c.Number(), string(c.Objects())}
	})
	if got != w.at[position] {
		t.Fatalf("at %d: state is %+v, the log says %+v", position, got, w.at[position])
	}
	if position < r.position || got.revision < r.revision {
		t.Fatalf("went back from %d (revision %d) to %d (revision %d)", r.position, r.revision, position, got.revision)
	}
	r.position, r.revision = position, got.revision
}

// catchUp polls until a poll changes nothing.
func (w *world) catchUp(t *rapid.T, r *reader) {
	for range 8 {
		if err := r.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
		w.check(t, r)
	}
}

func id(t *rapid.T) journal.ID {
	var id journal.ID
	binary.BigEndian.PutUint64(id[:], rapid.Uint64Min(1).Draw(t, "id"))
	return id
}

// TestRevisionNeverReverts guards promise 8 over trims, restarts, repeats,
// snapshots and adopted states: each reader agrees with the whole history of
// the log at its position, and never goes back.
func TestRevisionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		pick := func() *reader { return w.readers[rapid.IntRange(0, 2).Draw(t, "reader")] }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				now := w.at[len(w.at)-1].revision
				w.publish(t, id(t), max(now, 1)-min(now, rapid.Uint64Range(0, 1).Draw(t, "behind")))
			},
			"publish current": func(t *rapid.T) { w.publish(t, id(t), w.at[len(w.at)-1].revision) },
			"repeat": func(t *rapid.T) {
				if len(w.ids) == 0 {
					t.Skip("nothing to repeat")
				}
				w.append(w.texts[rapid.SampledFrom(w.ids).Draw(t, "repeated")], w.at[len(w.at)-1])
			},
			"garbage": func(t *rapid.T) { w.append([]byte("garbage"), w.at[len(w.at)-1]) },
			"poll": func(t *rapid.T) {
				if err := pick().Poll(context.Background()); err != nil {
					t.Fatal(err)
				}
			},
			"snapshot": func(t *rapid.T) {
				asOf, state, err := pick().SnapshotState()
				if err != nil {
					t.Skip("not ready")
				}
				data, err := journal.EncodeSnapshot(asOf, state)
				if err != nil {
					t.Fatal(err)
				}
				w.append(data, w.at[len(w.at)-1])
			},
			"adopt": func(t *rapid.T) {
				asOf, state, err := pick().SnapshotState()
				if err != nil {
					t.Skip("not ready")
				}
				if _, err := pick().Adopt(asOf, state); err != nil {
					t.Fatal(err)
				}
			},
			"trim": func(t *rapid.T) {
				first, end := w.log.Bounds(stream)
				w.log.Trim(stream, rapid.Uint64Range(first, end).Draw(t, "before"))
			},
			"restart": func(t *rapid.T) { w.readers[rapid.IntRange(0, 2).Draw(t, "restarted")] = w.newReader() },
			"": func(t *rapid.T) {
				for _, r := range w.readers {
					w.check(t, r)
				}
			},
		})
	})
}

// TestOneWinner guards against two publishers that both take their publish for
// accepted, or neither, on some reader.
func TestOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(2)
		bases := rapid.SliceOfN(rapid.Uint64Range(0, 3), 2, 12).Draw(t, "bases")
		for _, base := range bases {
			w.publish(t, id(t), base)
			if rapid.Bool().Draw(t, "repeated") {
				w.append(w.texts[w.ids[len(w.ids)-1]], w.at[len(w.at)-1])
			}
			if rapid.Bool().Draw(t, "poll") {
				w.catchUp(t, w.readers[0])
			}
		}
		asOf, state, err := w.readers[0].SnapshotState()
		if err == nil {
			// The late reader starts from an adopted state.
			late := w.newReader()
			if _, err := late.Adopt(asOf, state); err != nil {
				t.Fatal(err)
			}
			w.readers = append(w.readers, late)
		}
		for _, r := range w.readers {
			w.catchUp(t, r)
			accepted := map[uint64]journal.ID{}
			for _, e := range r.publication.History() {
				if result, ok := r.publication.Result(e.ID); !ok || result != e {
					t.Fatalf("result of %v is %v, %v", e, result, ok)
				}
				if !e.Accepted {
					continue
				}
				if other, ok := accepted[e.Base]; ok {
					t.Fatalf("%v and %v both won base %d", other, e.ID, e.Base)
				}
				accepted[e.Base] = e.ID
			}
			if fmt.Sprint(accepted) != fmt.Sprint(w.winner) {
				t.Fatalf("winners are %v, want %v", accepted, w.winner)
			}
		}
	})
}
