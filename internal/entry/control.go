package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

func (e *Entry) learn([]wire.EntryInfo)                                    {}
func (e *Entry) entryList() []wire.EntryInfo                               { return nil }
func (e *Entry) sendConfig(*wire.Session)                                  {}
func (e *Entry) acknowledged(*link, gypsumtide.Millis, *wire.HeartbeatAck) {}
func (e *Entry) adopt(string, *wire.StateReply) error                      { return nil }
func (e *Entry) stateReply() *wire.StateReply                              { return nil }
