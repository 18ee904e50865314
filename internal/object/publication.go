package object

import (
	"bytes"
	"fmt"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/wire"
)

// historyLength is the number of publishes that a snapshot keeps. At 1,000
// changes a day it covers more than two hours.
const historyLength = 100

// PublishRecord is the record of the configuration stream.
type PublishRecord struct {
	// ID is the id of the record, by which its publisher finds the result.
	ID journal.ID `cbor:"1,keyasint"`
	// Base is the revision that the publisher read.
	Base    uint64 `cbor:"2,keyasint,omitempty"`
	Objects []byte `cbor:"3,keyasint,omitempty"`
	Author  string `cbor:"4,keyasint,omitempty"`
	// Time is the publisher's Unix time in milliseconds.
	Time gypsumtide.Millis `cbor:"5,keyasint,omitempty"`
}

// Encode returns the record.
func (p PublishRecord) Encode() ([]byte, error) { return wire.Marshal(p) }

// HistoryEntry is one publish of the history.
type HistoryEntry struct {
	ID     journal.ID        `cbor:"1,keyasint" json:"-"`
	Offset uint64            `cbor:"2,keyasint" json:"offset"`
	Base   uint64            `cbor:"3,keyasint" json:"base"`
	Author string            `cbor:"4,keyasint" json:"author"`
	Time   gypsumtide.Millis `cbor:"5,keyasint" json:"time"`
	// Revision is the revision in force after the publish.
	Revision uint64 `cbor:"6,keyasint" json:"revision"`
	// Accepted is false if another publish with the same base was first.
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
}

// Number returns the number of the revision; 0 is the default set.
func (r Revision) Number() uint64 { return r.number }

// Objects returns the published text. It must not be changed.
func (r Revision) Objects() []byte { return r.objects }

// Author returns who published it.
func (r Revision) Author() string { return r.author }

// Time returns the publisher's Unix time.
func (r Revision) Time() gypsumtide.Millis { return r.time }

// Set returns the checked objects.
func (r Revision) Set() *Set { return r.set }

// Err returns why this version of the program cannot read the text. Set then
// is that of the newest revision that it could read.
func (r Revision) Err() error { return r.err }

// ConfigurationState folds the configuration stream. The revision depends on the
// bases only, not on the objects: readers of different program versions might
// disagree on whether a text is valid, but must agree on revisions.
type ConfigurationState struct {
	current Revision
	history []HistoryEntry
}

var _ journal.StateMachine = (*ConfigurationState)(nil)

// NewConfigurationState returns the state of an empty stream.
func NewConfigurationState() *ConfigurationState {
	return &ConfigurationState{current: Revision{set: Default()}}
}

// Current returns the revision in force.
func (p *ConfigurationState) Current() Revision { return p.current }

// History returns the newest publishes, the oldest first.
func (p *ConfigurationState) History() []HistoryEntry { return slices.Clone(p.history) }

// Result tells a publisher what became of its record. It reports false if the
// record has not been read or has left the history.
func (p *ConfigurationState) Result(id journal.ID) (HistoryEntry, bool) {
	for _, e := range slices.Backward(p.history) {
		if e.ID == id {
			return e, true
		}
	}
	return HistoryEntry{}, false
}

// Apply implements journal.StateMachine.
func (p *ConfigurationState) Apply(offset uint64, data []byte) {
	var r PublishRecord
	if err := wire.Unmarshal(data, &r); err != nil || r.ID == (journal.ID{}) {
		return
	}
	if _, ok := p.Result(r.ID); ok {
		return
	}
	accepted := r.Base == p.current.number
	if accepted {
		p.enforce(Revision{number: p.current.number + 1, objects: r.Objects, author: r.Author, time: r.Time})
	}
	p.history = append(p.history, HistoryEntry{
		ID: r.ID, Offset: offset, Base: r.Base, Author: r.Author, Time: r.Time,
		Revision: p.current.number, Accepted: accepted,
	})
	if n := len(p.history) - historyLength; n > 0 {
		p.history = slices.Delete(p.history, 0, n)
	}
}

// enforce makes r the current revision.
func (p *ConfigurationState) enforce(r Revision) {
	r.set, r.err = Parse(File{Name: fmt.Sprintf("revision-%d", r.number), Data: r.objects})
	if r.err != nil {
		r.set = p.current.set
	}
	p.current = r
}

// publicationState is the snapshot of a ConfigurationState.
type publicationState struct {
	Number  uint64            `cbor:"1,keyasint,omitempty"`
	Objects []byte            `cbor:"2,keyasint,omitempty"`
	Author  string            `cbor:"3,keyasint,omitempty"`
	Time    gypsumtide.Millis `cbor:"4,keyasint,omitempty"`
	History []HistoryEntry    `cbor:"5,keyasint,omitempty"`
}

// Snapshot implements journal.StateMachine.
func (p *ConfigurationState) Snapshot() ([]byte, error) {
	c := p.current
	return wire.Marshal(publicationState{Number: c.number, Objects: c.objects, Author: c.author, Time: c.time, History: p.history})
}

// Restore implements journal.StateMachine. It rejects a lower revision, and another
// text under the same revision.
func (p *ConfigurationState) Restore(data []byte) error {
	var s publicationState
	if err := wire.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("object: restore: %w", err)
	}
	if s.Number < p.current.number {
		return fmt.Errorf("object: restore: revision %d is older than %d", s.Number, p.current.number)
	}
	if s.Number == p.current.number && !bytes.Equal(s.Objects, p.current.objects) {
		return fmt.Errorf("object: restore: revision %d has another text", s.Number)
	}
	if len(s.History) > historyLength {
		return fmt.Errorf("object: restore: history of %d publishes", len(s.History))
	}
	if s.Number > p.current.number {
		p.enforce(Revision{number: s.Number, objects: s.Objects, author: s.Author, time: s.Time})
	}
	p.history = s.History
	return nil
}
