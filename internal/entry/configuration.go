package entry

import "gypsumtide/internal/wire"

// sendConfig sends the configuration in force to an agent.
func (e *Entry) sendConfig(*wire.Session) {}
