package routing

import (
	"context"
	"errors"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/link"
)

// memoryDirectory is a directory in memory.
type memoryDirectory struct {
	records map[string]gypsumtide.DirectoryRecord
	fail    bool
	// unreadable lists the names of records that cannot be decoded.
	unreadable []string
}

func (d *memoryDirectory) Announce(_ context.Context, r gypsumtide.DirectoryRecord) error {
	if d.fail {
		return errors.New("store is down")
	}
	d.records[r.Name] = r
	return nil
}

func (d *memoryDirectory) Records(context.Context) ([]gypsumtide.DirectoryRecord, error) {
	if d.fail {
		return nil, errors.New("store is down")
	}
	out := []gypsumtide.DirectoryRecord{}
	for _, r := range d.records {
		out = append(out, r)
	}
	if len(d.unreadable) > 0 {
		return out, gypsumtide.NewUnreadableRecordsError(d.unreadable)
	}
	return out, nil
}

// Guards against stored jobs that no entry continues after a restart of all entries, and
// against answers of an entry that does not know yet whether there are stored jobs.
func TestStoredUsage(t *testing.T) {
	clock := gypsumtide.NewSystemClock()
	newPeers := func(name string, d *memoryDirectory) *Peers {
		return NewPeers(name, name+":1", link.NewAddresses(nil, clock), NewTableHolder(clock, discardLogger{}), &testSource{}, d, clock, discardLogger{})
	}
	usage := func(p *Peers) [2]bool {
		active, known := p.StoredJobsActive()
		return [2]bool{active, known}
	}
	ctx := context.Background()

	Convey("Whether stored jobs are in use is known once the directory has been read", t, func() {
		d := &memoryDirectory{records: make(map[string]gypsumtide.DirectoryRecord), fail: true}
		p := newPeers("a", d)
		So(p.readAndAnnounce(ctx), ShouldNotBeNil)
		So(usage(p), ShouldResemble, [2]bool{false, false})
		d.fail = false
		So(p.readAndAnnounce(ctx), ShouldBeNil)
		So(usage(p), ShouldResemble, [2]bool{false, true})
	})

	// Guards against an entry that never announces itself, and refuses all stored jobs,
	// because another writer left an odd record in the directory.
	Convey("A record that cannot be decoded hides neither the others nor this entry", t, func() {
		d := &memoryDirectory{records: make(map[string]gypsumtide.DirectoryRecord), unreadable: []string{"odd"}}
		p := newPeers("a", d)
		So(p.readAndAnnounce(ctx), ShouldBeNil)
		So(usage(p), ShouldResemble, [2]bool{false, true})
		So(d.records, ShouldContainKey, "a")
		So(p.unreadable, ShouldContainSubstring, "odd")
	})

	Convey("The use of stored jobs takes effect once it is in the directory, and survives restarts of the entries", t, func() {
		d := &memoryDirectory{records: make(map[string]gypsumtide.DirectoryRecord), fail: true}
		p := newPeers("a", d)
		So(p.ActivateStoredJobs(ctx), ShouldNotBeNil)
		So(usage(p)[0], ShouldBeFalse)
		d.fail = false
		So(p.ActivateStoredJobs(ctx), ShouldBeNil)
		<-p.StoredJobsActivated()
		for _, name := range []string{"a", "b", "a"} {
			restarted := newPeers(name, d)
			So(restarted.readAndAnnounce(ctx), ShouldBeNil)
			So(usage(restarted), ShouldResemble, [2]bool{true, true})
			So(d.records[name].Stored, ShouldBeTrue)
		}
	})

	// Guards against an entry that denies a job which another entry has just accepted as the
	// first stored one (TestSoak, seeds 2 and 202).
	Convey("A check sees at once that another entry has activated stored jobs", t, func() {
		d := &memoryDirectory{records: make(map[string]gypsumtide.DirectoryRecord)}
		p, other := newPeers("a", d), newPeers("b", d)
		So(p.readAndAnnounce(ctx), ShouldBeNil)
		active, err := p.CheckStoredJobs(ctx)
		So(err, ShouldBeNil)
		So(active, ShouldBeFalse)
		So(other.ActivateStoredJobs(ctx), ShouldBeNil)
		So(usage(p), ShouldResemble, [2]bool{false, true})
		active, err = p.CheckStoredJobs(ctx)
		So(err, ShouldBeNil)
		So(active, ShouldBeTrue)
		So(usage(p), ShouldResemble, [2]bool{true, true})
	})
	Convey("A check fails if the directory cannot be read", t, func() {
		d := &memoryDirectory{records: make(map[string]gypsumtide.DirectoryRecord)}
		p := newPeers("a", d)
		So(p.readAndAnnounce(ctx), ShouldBeNil)
		d.fail = true
		_, err := p.CheckStoredJobs(ctx)
		So(err, ShouldNotBeNil)
	})

	Convey("Messages of peers tell that stored jobs are in use, and their queue counts are added up", t, func() {
		d := &memoryDirectory{records: make(map[string]gypsumtide.DirectoryRecord)}
		p := newPeers("a", d)
		p.SetQueuedCounter(func() map[string]int { return map[string]int{"r": 2} })
		p.applyMessage("b:1", &peerMessage{Stored: true, Queued: map[string]int{"r": 3, "s": 1}})
		p.applyMessage("c:1", &peerMessage{Queued: map[string]int{"r": 4}})
		So(usage(p)[0], ShouldBeTrue)
		So(p.QueuedJobs("r"), ShouldEqual, 9)
		p.applyMessage("b:1", &peerMessage{})
		So(p.QueuedJobs("r"), ShouldEqual, 6)
		So(p.QueuedJobs("s"), ShouldEqual, 0)

		// Guards against a sum that one odd count makes negative.
		p.applyMessage("odd:1", &peerMessage{Queued: map[string]int{"s": math.MinInt}})
		p.applyMessage("odd:2", &peerMessage{Queued: map[string]int{"s": math.MaxInt}})
		p.applyMessage("odd:3", &peerMessage{Queued: map[string]int{"s": math.MaxInt}})
		So(p.QueuedJobs("s"), ShouldEqual, 2*maxQueuedJobs)
	})
}
