package operator

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"unicode/utf8"

	"gypsumtide"
	"gypsumtide/internal/object"
)

// ConfigurationResponse is the response body with the current configuration.
type ConfigurationResponse struct {
	Revision uint64            `json:"revision"`
	Author   string            `json:"author,omitempty"`
	Time     gypsumtide.Millis `json:"time,omitempty"`
	// Objects is the published YAML text.
	Objects string `json:"objects"`
	// Error is the reason why this entry cannot parse the text and keeps using an
	// older set.
	Error string `json:"error,omitempty"`
}

// PublishResponse is the response body of a successful publish.
type PublishResponse struct {
	Revision uint64 `json:"revision"`
}

func (h *Handler) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	if !h.requireReady(w, "read configuration") {
		return
	}
	c := h.configuration.Current()
	response := ConfigurationResponse{Revision: c.Number(), Author: c.Author(), Time: c.Time(), Objects: string(c.Objects())}
	if c.Err() != nil {
		response.Error = c.Err().Error()
	}
	writeJSON(w, http.StatusOK, response)
}

// maxAuthorBytes limits the author of a publish, which all nodes keep in the history.
const maxAuthorBytes = 256

// putConfiguration publishes the body as the successor of the revision in the query
// parameter base.
func (h *Handler) putConfiguration(w http.ResponseWriter, r *http.Request) {
	const step = "publish configuration"
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeBadRequest(w, step, "base: the number of the revision that the set replaces is required")
		return
	}
	author := r.URL.Query().Get("author")
	if len(author) > maxAuthorBytes || !utf8.ValidString(author) {
		writeBadRequest(w, step, fmt.Sprintf("author: must be valid UTF-8 of at most %d bytes", maxAuthorBytes))
		return
	}
	objects, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			h.writeError(w, step, err)
			return
		}
		writeBadRequest(w, step, err.Error())
		return
	}
	if !h.requireReady(w, step) {
		return
	}
	ctx, cancel := h.actionContext(r)
	defer cancel()
	revision, err := h.configuration.Publish(ctx, base, objects, author)
	if err != nil {
		h.writePublishError(w, step, err)
		return
	}
	h.logger.Info("configuration published", "revision", revision, "author", author)
	writeJSON(w, http.StatusOK, PublishResponse{Revision: revision})
}

// writePublishError logs err and responds with the problem for it. For a conflict, the
// problem includes the current revision.
func (h *Handler) writePublishError(w http.ResponseWriter, step string, err error) {
	if !errors.Is(err, object.ErrConflict) {
		h.writeError(w, step, err)
		return
	}
	h.logger.Info("publish refused", "reason", err.Error())
	p := problemFromError(step, err)
	revision := h.configuration.Current().Number()
	p.Revision = &revision
	p.write(w)
}

func (h *Handler) getHistory(w http.ResponseWriter, _ *http.Request) {
	if !h.requireReady(w, "read history") {
		return
	}
	history := h.configuration.History()
	if history == nil {
		history = []object.HistoryEntry{}
	}
	writeJSON(w, http.StatusOK, history)
}

// ExplainResponse is the response body with an explanation and the revision that it
// is based on.
type ExplainResponse struct {
	Revision uint64 `json:"revision"`
	object.Explanation
}

func (h *Handler) getExplain(w http.ResponseWriter, r *http.Request) {
	const step = "explain"
	service := r.URL.Query().Get("service")
	if service == "" {
		writeBadRequest(w, step, "service: required")
		return
	}
	if !h.requireReady(w, step) {
		return
	}
	c := h.configuration.Current()
	writeJSON(w, http.StatusOK, ExplainResponse{Revision: c.Number(), Explanation: c.Set().Explain(service, r.URL.Query().Get("team"))})
}
