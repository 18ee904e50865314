package object

import (
	"bytes"
	"fmt"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/wire"
)

// historyLength is the number of publishes that the state and its snapshots keep. At
// 1,000 changes a day it covers more than two hours.
const historyLength = 100

// PublishRecord is a record of the configuration stream: a request to replace a
// revision.
type PublishRecord struct {
	// ID is the id of the record. The publisher looks up the result by it.
	ID journal.ID `cbor:"1,keyasint"`
	// Base is the revision that the publish replaces.
	Base    uint64 `cbor:"2,keyasint,omitempty"`
	Objects []byte `cbor:"3,keyasint,omitempty"`
	Author  string `cbor:"4,keyasint,omitempty"`
	// Time is the Unix time in milliseconds by the publisher's clock.
	Time gypsumtide.Millis `cbor:"5,keyasint,omitempty"`
}

// Encode returns the encoded record.
func (p PublishRecord) Encode() ([]byte, error) { return wire.Marshal(p) }

// HistoryEntry describes a publish and its result.
type HistoryEntry struct {
	ID     journal.ID        `cbor:"1,keyasint" json:"-"`
	Offset uint64            `cbor:"2,keyasint" json:"offset"`
	Base   uint64            `cbor:"3,keyasint" json:"base"`
	Author string            `cbor:"4,keyasint" json:"author"`
	Time   gypsumtide.Millis `cbor:"5,keyasint" json:"time"`
	// Revision is the current revision after the publish.
	Revision uint64 `cbor:"6,keyasint" json:"revision"`
	// Accepted is false if Base was not the current revision, for example because
	// another publish with the same base came first.
	Accepted bool `cbor:"7,keyasint" json:"accepted"`
}

// Revision is a published set.
type Revision struct {
	number  uint64
	objects []byte
	author  string
	time    gypsumtide.Millis
	set     *Set
	err     error
	// evacuated lists the evacuated zones of set, by name. evacuationsVersion is the number
	// of the revision from which they are known.
	evacuated          []EvacuatedZone
	evacuationsVersion uint64
}

// Number returns the number of the revision; 0 is the default set.
func (r Revision) Number() uint64 { return r.number }

// Objects returns the published YAML text. The caller must not modify it.
func (r Revision) Objects() []byte { return r.objects }

// Author returns the author that the publisher stated.
func (r Revision) Author() string { return r.author }

// Time returns the time of the publish by the publisher's clock, as Unix time in
// milliseconds.
func (r Revision) Time() gypsumtide.Millis { return r.time }

// Set returns the objects of the revision; see Err for the exception.
func (r Revision) Set() *Set { return r.set }

// Err returns the error with which this version of the program failed to parse the
// text, or nil. After a failure, Set returns the set that was in use before: that of the
// newest revision that this process could parse, or the default set.
func (r Revision) Err() error { return r.err }

// ConfigurationState is the state machine of the configuration stream. A publish is
// accepted if its base is the current revision; whether its objects are valid does
// not matter. Nodes that run different program versions may disagree on the validity
// of a text, but they must agree on the revision.
type ConfigurationState struct {
	current Revision
	history []HistoryEntry
}

var _ journal.StateMachine = (*ConfigurationState)(nil)

// NewConfigurationState returns the state of an empty stream.
func NewConfigurationState() *ConfigurationState {
	return &ConfigurationState{current: Revision{set: Default()}}
}

// Current returns the current revision.
func (s *ConfigurationState) Current() Revision { return s.current }

// History returns the most recent publishes, oldest first.
func (s *ConfigurationState) History() []HistoryEntry { return slices.Clone(s.history) }

// Result returns the result of the publish with the id. It returns false if the
// record has not been applied or is no longer in the history.
func (s *ConfigurationState) Result(id journal.ID) (HistoryEntry, bool) {
	for _, e := range slices.Backward(s.history) {
		if e.ID == id {
			return e, true
		}
	}
	return HistoryEntry{}, false
}

// Apply implements journal.StateMachine.
func (s *ConfigurationState) Apply(offset uint64, data []byte) {
	var r PublishRecord
	if err := wire.Unmarshal(data, &r); err != nil || r.ID == (journal.ID{}) {
		return
	}
	if _, ok := s.Result(r.ID); ok {
		return
	}
	accepted := r.Base == s.current.number
	if accepted {
		s.setCurrent(Revision{number: s.current.number + 1, objects: r.Objects, author: r.Author, time: r.Time})
	}
	s.history = append(s.history, HistoryEntry{
		ID: r.ID, Offset: offset, Base: r.Base, Author: r.Author, Time: r.Time,
		Revision: s.current.number, Accepted: accepted,
	})
	if n := len(s.history) - historyLength; n > 0 {
		s.history = slices.Delete(s.history, 0, n)
	}
}

// setCurrent parses the objects of r and makes r the current revision. If they cannot
// be parsed, the set of the previous revision stays in use.
func (s *ConfigurationState) setCurrent(r Revision) {
	r.set, r.err = Parse(File{Name: fmt.Sprintf("revision-%d", r.number), Data: r.objects})
	if r.err != nil {
		r.set, r.evacuated, r.evacuationsVersion = s.current.set, s.current.evacuated, s.current.evacuationsVersion
	} else {
		r.setEvacuated(s.current.evacuated)
	}
	s.current = r
}

// configurationSnapshot is the encoded form of a ConfigurationState.
type configurationSnapshot struct {
	Number  uint64            `cbor:"1,keyasint,omitempty"`
	Objects []byte            `cbor:"2,keyasint,omitempty"`
	Author  string            `cbor:"3,keyasint,omitempty"`
	Time    gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	History []HistoryEntry    `cbor:"5,keyasint,omitempty"`
	// Evacuated is missing in snapshots of earlier program versions.
	Evacuated []EvacuatedZone `cbor:"6,keyasint,omitempty"`
}

// Snapshot implements journal.StateMachine.
func (s *ConfigurationState) Snapshot() ([]byte, error) {
	c := s.current
	return wire.Marshal(configurationSnapshot{Number: c.number, Objects: c.objects, Author: c.author, Time: c.time, History: s.history, Evacuated: c.evacuated})
}

// Restore implements journal.StateMachine. It rejects a snapshot with a lower revision,
// with different objects for the same revision, with a revision out of range, or with a
// history that is too long.
func (s *ConfigurationState) Restore(data []byte) error {
	var snapshot configurationSnapshot
	if err := wire.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("object: restore: %w", err)
	}
	if err := gypsumtide.ValidateCounter("revision", snapshot.Number); err != nil {
		return fmt.Errorf("object: restore: %w", err)
	}
	if snapshot.Number < s.current.number {
		return fmt.Errorf("object: restore: snapshot has revision %d, older than the current revision %d", snapshot.Number, s.current.number)
	}
	if snapshot.Number == s.current.number && !bytes.Equal(snapshot.Objects, s.current.objects) {
		return fmt.Errorf("object: restore: snapshot has different objects for revision %d", snapshot.Number)
	}
	if len(snapshot.History) > historyLength {
		return fmt.Errorf("object: restore: snapshot history is too long: %d publishes", len(snapshot.History))
	}
	if snapshot.Number > s.current.number {
		// The evacuations of the snapshot stay in force if the text cannot be parsed.
		s.current.restoreEvacuated(snapshot.Evacuated)
		s.setCurrent(Revision{number: snapshot.Number, objects: snapshot.Objects, author: snapshot.Author, time: snapshot.Time})
	}
	s.history = snapshot.History
	return nil
}
