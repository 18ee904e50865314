package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

const (
	// maxObjectBytes is the maximum size of a published text. It is enough for tens
	// of thousands of objects.
	maxObjectBytes = 4 << 20
	// actionTimeout bounds the wait for the log. It exceeds the target of 3 s within
	// which a configuration change should take effect.
	actionTimeout = 5 * time.Second
)

// Handler serves the operators' HTTP interface.
type Handler struct {
	configuration Configuration
	backend       Backend
	logger        logr.Logger
	timeout       time.Duration
}

// NewHandler returns a Handler.
func NewHandler(configuration Configuration, backend Backend, logger logr.Logger) *Handler {
	return &Handler{configuration: configuration, backend: backend, logger: logger, timeout: actionTimeout}
}

// RegisterHandlers adds the URL patterns of the interface to the mux. Handlers of requests
// that change state are wrapped by guard, which checks the key.
func (h *Handler) RegisterHandlers(mux *http.ServeMux, guard func(http.HandlerFunc) http.HandlerFunc) {
	mux.HandleFunc("GET /v1/configuration", h.getConfiguration)
	mux.HandleFunc("PUT /v1/configuration", guard(h.putConfiguration))
	mux.HandleFunc("GET /v1/configuration/history", h.getHistory)
	mux.HandleFunc("GET /v1/explain", h.getExplain)
	mux.HandleFunc("GET /v1/evacuations", h.getEvacuations)
	mux.HandleFunc("GET /v1/nodes", h.getNodes)
	mux.HandleFunc("POST /v1/nodes/{name}/drain", guard(h.postDrain))
	mux.HandleFunc("POST /v1/agents/{name}/retire", guard(h.postRetire))
}

// actionContext returns the context of a request that may have to wait for the log. It
// ends with the request, but at the latest after the timeout.
func (h *Handler) actionContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), h.timeout)
}

// requireReady reports whether the current revision is known. If not, it responds
// with a problem.
func (h *Handler) requireReady(w http.ResponseWriter, step string) bool {
	if h.configuration.Ready() {
		return true
	}
	p := newProblem(ProblemUnavailable, http.StatusServiceUnavailable, "Not possible at the moment", "this entry has not read the configuration yet")
	p.Step = step
	p.write(w)
	return false
}

// writeError logs err and responds with the problem for it.
func (h *Handler) writeError(w http.ResponseWriter, step string, err error) {
	h.logger.Error(err, "operator request failed", "step", step)
	problemFromError(step, err).write(w)
}

func writeBadRequest(w http.ResponseWriter, step, detail string) {
	p := newProblem(ProblemBadRequest, http.StatusBadRequest, "The request is not valid", detail)
	p.Step = step
	p.write(w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
