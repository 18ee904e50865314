package operator

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"gypsumtide"
	"gypsumtide/internal/object"
)

// ConfigurationResponse is the configuration in force.
type ConfigurationResponse struct {
	Revision uint64            `json:"revision"`
	Author   string            `json:"author,omitempty"`
	Time     gypsumtide.Millis `json:"time,omitempty"`
	// Objects is the YAML text of the set.
	Objects string `json:"objects"`
	// Error tells why this entry cannot read the text and keeps an older set.
	Error string `json:"error,omitempty"`
}

// PublishResponse is the answer to a publish.
type PublishResponse struct {
	Revision uint64 `json:"revision"`
}

func (h *Handler) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	if !h.ready(w, "read configuration") {
		return
	}
	c := h.configuration.Current()
	answer := ConfigurationResponse{Revision: c.Number(), Author: c.Author(), Time: c.Time(), Objects: string(c.Objects())}
	if c.Err() != nil {
		answer.Error = c.Err().Error()
	}
	writeJSON(w, http.StatusOK, answer)
}

// putConfiguration publishes the body over the revision that the query names as base.
func (h *Handler) putConfiguration(w http.ResponseWriter, r *http.Request) {
	const step = "publish configuration"
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		badRequest(w, step, "base: the number of the revision that the set replaces is required")
		return
	}
	objects, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			h.fail(w, step, err)
			return
		}
		badRequest(w, step, err.Error())
		return
	}
	if !h.ready(w, step) {
		return
	}
	ctx, cancel := h.action(r)
	defer cancel()
	author := r.URL.Query().Get("author")
	revision, err := h.configuration.Publish(ctx, base, objects, author)
	if err != nil {
		h.failPublish(w, step, err)
		return
	}
	h.logger.Info("configuration published", "revision", revision, "author", author)
	writeJSON(w, http.StatusOK, PublishResponse{Revision: revision})
}

func (h *Handler) failPublish(w http.ResponseWriter, step string, err error) {
	if !errors.Is(err, object.ErrConflict) {
		h.fail(w, step, err)
		return
	}
	h.logger.Info("publish refused", "reason", err.Error())
	p := problemOf(step, err)
	revision := h.configuration.Current().Number()
	p.Revision = &revision
	p.write(w)
}

func (h *Handler) getHistory(w http.ResponseWriter, _ *http.Request) {
	if !h.ready(w, "read history") {
		return
	}
	history := h.configuration.History()
	if history == nil {
		history = []object.HistoryEntry{}
	}
	writeJSON(w, http.StatusOK, history)
}

// ExplainResponse is an explanation with the revision that it is taken from.
type ExplainResponse struct {
	Revision uint64 `json:"revision"`
	object.Explanation
}

func (h *Handler) getExplain(w http.ResponseWriter, r *http.Request) {
	const step = "explain"
	service := r.URL.Query().Get("service")
	if service == "" {
		badRequest(w, step, "service: required")
		return
	}
	if !h.ready(w, step) {
		return
	}
	c := h.configuration.Current()
	writeJSON(w, http.StatusOK, ExplainResponse{Revision: c.Number(), Explanation: c.Set().Explain(service, r.URL.Query().Get("team"))})
}
