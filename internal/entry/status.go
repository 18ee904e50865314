package entry

import (
	"net/http"

	"gypsumtide"
)

// statusBody is the response body of GET /v1/status.
type statusBody struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"availability-zone"`
	Draining    bool   `json:"draining"`
	Ready       bool   `json:"ready"`
	// LogReadAgeMS is the time since this entry sent the last read that reached the
	// end of the shards stream, or -1 if no read has.
	LogReadAgeMS gypsumtide.Millis `json:"log-read-age-ms"`
	Position     uint64            `json:"shards-position"`
	SkewMS       gypsumtide.Millis `json:"clock-skew-ms"`
	// Shards counts the shards by their state at this entry.
	Shards map[string]int `json:"shards"`
	Jobs   int            `json:"jobs"`
	IDs    int            `json:"remembered-ids"`
	Bytes  int64          `json:"table-bytes"`
	Agents []agentStatus  `json:"agents"`
}

// agentStatus is the state of an agent at this entry.
type agentStatus struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"availability-zone"`
	Rack        string `json:"rack"`
	Connected   bool   `json:"connected"`
	Draining    bool   `json:"draining"`
	Ejected     bool   `json:"ejected"`
	// Evacuated means that the agent reports that it starts nothing because its zone is
	// evacuated.
	Evacuated   bool              `json:"zone-evacuated"`
	Slots       int               `json:"slots"`
	Open        int               `json:"open-tasks"`
	Slowness    float64           `json:"speed"`
	Revision    uint64            `json:"revision"`
	ReportAgeMS gypsumtide.Millis `json:"report-age-ms"`
}

// handleStatus serves GET /v1/status.
func (e *Entry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.status())
}

func (e *Entry) status() statusBody {
	now := e.clock.Now()
	s := statusBody{
		Name: e.cfg.Name, Incarnation: e.incarnation, Zone: e.cfg.Zone, Draining: e.draining.Load(), Ready: e.ready(),
		LogReadAgeMS: -1, Position: e.shardsFollower.Position(), SkewMS: e.shardManager.Skew(), Shards: make(map[string]int),
	}
	if at := e.shardsFollower.CaughtUpAt(); at > 0 {
		s.LogReadAgeMS = now - at
	}
	for i := range gypsumtide.ShardID(gypsumtide.ShardCount) {
		s.Shards[e.shardManager.ShardState(i)]++
	}
	e.home.status(&s, now)
	return s
}

// status adds the state of the home.
func (h *home) status(s *statusBody, now gypsumtide.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Jobs, s.IDs, s.Bytes = len(h.jobs), h.table.Len(), h.table.Bytes()
	for _, c := range h.agents {
		s.Agents = append(s.Agents, agentStatus{
			Name: c.record.Name, Incarnation: c.record.Incarnation, Zone: c.record.Zone, Rack: c.record.Rack,
			Connected: c.session != nil, Draining: c.draining, Ejected: c.view.Ejected(), Evacuated: c.reportsEvacuated, Slots: c.slots,
			Open: len(c.openTasks), Slowness: c.view.Slowness(), Revision: c.revision, ReportAgeMS: now - c.view.ReportedAt(),
		})
	}
}
