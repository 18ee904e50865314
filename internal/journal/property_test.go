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

// handlerTransport passes requests to a handler without a network connection.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// reader is a node that follows the configuration stream.
type reader struct {
	*journal.Follower
	configuration *object.ConfigurationState
	// position and revision are the values at the last check.
	position, revision uint64
}

// expectedState is the state of a reader that has read every record before an
// offset.
type expectedState struct {
	revision uint64
	objects  string
}

// model holds a log, its readers, and the whole history of the log, including
// trimmed records.
type model struct {
	log     *platformlog.Server
	client  *journal.Client
	readers []*reader
	// expected holds the state before each offset. publishIDs lists the ids of all
	// publishes, records their encoded records, and acceptedByBase the publish
	// that was accepted on each base revision.
	expected       []expectedState
	appended       map[journal.ID]bool
	publishIDs     []journal.ID
	records        map[journal.ID][]byte
	acceptedByBase map[uint64]journal.ID
}

func newModel(readers int) *model {
	log := platformlog.New(platformlog.Settings{MaxRecordBytes: 1 << 24}, gypsumtide.NewSystemClock())
	m := &model{
		log:            log,
		client:         journal.NewClient("http://log", &http.Client{Transport: handlerTransport{log.Handler()}}, 0),
		expected:       []expectedState{{}},
		appended:       map[journal.ID]bool{},
		records:        map[journal.ID][]byte{},
		acceptedByBase: map[uint64]journal.ID{},
	}
	for range readers {
		m.readers = append(m.readers, m.newReader())
	}
	return m
}

func (m *model) newReader() *reader {
	configuration := object.NewConfigurationState()
	return &reader{Follower: journal.NewFollower(m.client, stream, configuration, gypsumtide.NewSystemClock(), logr.Discard()), configuration: configuration}
}

// append adds a record to the log, with the state that is expected after it.
func (m *model) append(data []byte, after expectedState) {
	m.log.Append(stream, data)
	m.expected = append(m.expected, after)
}

// publish appends a publish. It takes effect if its id is new and its base is the
// current revision.
func (m *model) publish(t *rapid.T, id journal.ID, base uint64) {
	text := fmt.Sprintf("# %s\n", id)
	body, err := object.PublishRecord{ID: id, Base: base, Objects: []byte(text), Author: "a"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := journal.EncodeRecord(id, body)
	if err != nil {
		t.Fatal(err)
	}
	next := m.expected[len(m.expected)-1]
	if !m.appended[id] && base == next.revision {
		next = expectedState{revision: base + 1, objects: text}
		m.acceptedByBase[base] = id
	}
	if !m.appended[id] {
		m.publishIDs = append(m.publishIDs, id)
	}
	m.appended[id], m.records[id] = true, data
	m.append(data, next)
}

// check compares the state of a reader with the one expected at its position.
func (m *model) check(t *rapid.T, r *reader) {
	position := r.Position()
	var got expectedState
	r.View(func() {
		c := r.configuration.Current()
		got = expectedState{c.Number(), string(c.Objects())}
	})
	if got != m.expected[position] {
		t.Fatalf("at %d: state is %+v, want %+v", position, got, m.expected[position])
	}
	if position < r.position || got.revision < r.revision {
		t.Fatalf("reader went back from %d (revision %d) to %d (revision %d)", r.position, r.revision, position, got.revision)
	}
	r.position, r.revision = position, got.revision
}

// catchUp polls 8 times, which is enough to reach the end of the stream.
func (m *model) catchUp(t *rapid.T, r *reader) {
	for range 8 {
		if err := r.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
		m.check(t, r)
	}
}

func drawID(t *rapid.T) journal.ID {
	var id journal.ID
	binary.BigEndian.PutUint64(id[:], rapid.Uint64Min(1).Draw(t, "id"))
	return id
}

// TestRevisionNeverReverts guards against a reader that returns to an earlier
// revision (promise 8 in docs/design.md) or disagrees with the history of the log at
// its position, under trims, restarts, repeats, snapshots and adopted states.
func TestRevisionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3)
		pick := func() *reader { return m.readers[rapid.IntRange(0, 2).Draw(t, "reader")] }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				revision := m.expected[len(m.expected)-1].revision
				m.publish(t, drawID(t), max(revision, 1)-min(revision, rapid.Uint64Range(0, 1).Draw(t, "behind")))
			},
			"publish current": func(t *rapid.T) { m.publish(t, drawID(t), m.expected[len(m.expected)-1].revision) },
			"repeat": func(t *rapid.T) {
				if len(m.publishIDs) == 0 {
					t.Skip("nothing to repeat")
				}
				m.append(m.records[rapid.SampledFrom(m.publishIDs).Draw(t, "repeated")], m.expected[len(m.expected)-1])
			},
			"garbage": func(t *rapid.T) { m.append([]byte("garbage"), m.expected[len(m.expected)-1]) },
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
				m.append(data, m.expected[len(m.expected)-1])
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
				first, end := m.log.Bounds(stream)
				m.log.Trim(stream, rapid.Uint64Range(first, end).Draw(t, "before"))
			},
			"restart": func(t *rapid.T) { m.readers[rapid.IntRange(0, 2).Draw(t, "restarted")] = m.newReader() },
			"": func(t *rapid.T) {
				for _, r := range m.readers {
					m.check(t, r)
				}
			},
		})
	})
}

// TestOnePublishPerBase guards against a reader on which two publishes with the
// same base revision are both accepted, or neither is.
func TestOnePublishPerBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(2)
		bases := rapid.SliceOfN(rapid.Uint64Range(0, 3), 2, 12).Draw(t, "bases")
		for _, base := range bases {
			m.publish(t, drawID(t), base)
			if rapid.Bool().Draw(t, "repeated") {
				m.append(m.records[m.publishIDs[len(m.publishIDs)-1]], m.expected[len(m.expected)-1])
			}
			if rapid.Bool().Draw(t, "poll") {
				m.catchUp(t, m.readers[0])
			}
		}
		asOf, state, err := m.readers[0].SnapshotState()
		if err == nil {
			// This reader joins later and starts from an adopted state.
			late := m.newReader()
			if _, err := late.Adopt(asOf, state); err != nil {
				t.Fatal(err)
			}
			m.readers = append(m.readers, late)
		}
		for _, r := range m.readers {
			m.catchUp(t, r)
			accepted := map[uint64]journal.ID{}
			for _, e := range r.configuration.History() {
				if result, ok := r.configuration.Result(e.ID); !ok || result != e {
					t.Fatalf("result of %v is %v, %v", e, result, ok)
				}
				if !e.Accepted {
					continue
				}
				if other, ok := accepted[e.Base]; ok {
					t.Fatalf("%v and %v were both accepted on base %d", other, e.ID, e.Base)
				}
				accepted[e.Base] = e.ID
			}
			if fmt.Sprint(accepted) != fmt.Sprint(m.acceptedByBase) {
				t.Fatalf("accepted publishes are %v, want %v", accepted, m.acceptedByBase)
			}
		}
	})
}
