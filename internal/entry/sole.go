package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// owner is the ownership with the events that feed it.
type owner interface {
	ownership
	Route(s gypsumtide.ShardID) (home wire.EntryInfo, epoch uint64, self, serving bool)
	Changed() <-chan struct{}
	HomelessSince(s gypsumtide.ShardID) (gypsumtide.Millis, bool)
	Skew() gypsumtide.Millis
	AgentUp(rec wire.AgentRecord)
	AgentDown(incarnation string)
	Promised(incarnation string, p wire.Promise)
	Heard(incarnation string)
	SessionDown(incarnation string)
	HandleHeartbeat(from string, hb *wire.Heartbeat) wire.HeartbeatAck
	HandleAck(from string, sentAt gypsumtide.Millis, ack *wire.HeartbeatAck)
	NoteAgent(from string, rec wire.AgentRecord) bool
	RosterAcked(from string, rec wire.AgentRecord)
}

// soleOwner owns every shard. It serves a deployment of one entry.
type soleOwner struct{ e *Entry }

func newSoleOwner(e *Entry) *soleOwner { return &soleOwner{e: e} }

func (o *soleOwner) Serving(gypsumtide.ShardID) (uint64, bool)               { return 1, true }
func (o *soleOwner) Fresh(gypsumtide.SubmissionID) bool                      { return true }
func (o *soleOwner) Usable(string, gypsumtide.ShardID) bool                  { return true }
func (o *soleOwner) Changed() <-chan struct{}                                { return nil }
func (o *soleOwner) Skew() gypsumtide.Millis                                 { return 0 }
func (o *soleOwner) AgentUp(wire.AgentRecord)                                {}
func (o *soleOwner) AgentDown(string)                                        {}
func (o *soleOwner) Promised(string, wire.Promise)                           {}
func (o *soleOwner) Heard(string)                                            {}
func (o *soleOwner) SessionDown(string)                                      {}
func (o *soleOwner) NoteAgent(string, wire.AgentRecord) bool                 { return true }
func (o *soleOwner) RosterAcked(string, wire.AgentRecord)                    {}
func (o *soleOwner) HandleAck(string, gypsumtide.Millis, *wire.HeartbeatAck) {}

func (o *soleOwner) HandleHeartbeat(string, *wire.Heartbeat) wire.HeartbeatAck {
	return wire.HeartbeatAck{}
}

func (o *soleOwner) HomelessSince(gypsumtide.ShardID) (gypsumtide.Millis, bool) { return 0, false }

func (o *soleOwner) Candidates(gypsumtide.SubmissionID, int) []string {
	var all []string
	for inc := range o.e.home.agents {
		all = append(all, inc)
	}
	return all
}

func (o *soleOwner) RecoveryCandidates(id gypsumtide.SubmissionID, n int) []string {
	return o.Candidates(id, n)
}

func (o *soleOwner) Route(gypsumtide.ShardID) (wire.EntryInfo, uint64, bool, bool) {
	return wire.EntryInfo{Incarnation: o.e.incarnation}, 1, true, true
}

type defaultRouter struct{}

func (defaultRouter) Pool(string, string) (string, error) { return "default", nil }
func (defaultRouter) InPool(string, string) bool          { return true }

func (defaultRouter) Spec(pool string) poolSpec {
	return poolSpec{name: pool, overcommit: 1, reserveShort: 25, maxEjected: 50}
}
