package upstream

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/certificate"
)

// maxRequestBytes limits the body of a request.
const maxRequestBytes = 1 << 20

// renewalRequest is the body of a lease renewal. Used is the current resource usage of
// the upstream; it may be omitted.
type renewalRequest struct {
	Generation uint64           `json:"generation"`
	Used       *gypsumtide.Size `json:"used,omitempty"`
}

// Handler returns the handler of /v1/upstreams, at which upstreams announce
// themselves, renew their leases and leave.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/upstreams", r.announce)
	mux.HandleFunc("PUT /v1/upstreams/{name}/lease", r.renew)
	mux.HandleFunc("DELETE /v1/upstreams/{name}", r.leave)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !certificate.Authorized(req, r.cfg.SharedKey) {
			writeError(w, http.StatusUnauthorized, errors.New("the shared key is missing or wrong"))
			return
		}
		mux.ServeHTTP(w, req)
	})
}

func (r *Registry) announce(w http.ResponseWriter, req *http.Request) {
	var a Announcement
	if !readJSON(w, req, &a) {
		return
	}
	lease, err := r.Announce(a)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	writeJSON(w, http.StatusOK, lease)
}

func (r *Registry) renew(w http.ResponseWriter, req *http.Request) {
	var body renewalRequest
	if !readJSON(w, req, &body) {
		return
	}
	if body.Used != nil {
		if err := body.Used.Validate(); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
	}
	name := req.PathValue("name")
	lease, err := r.Renew(name, body.Generation)
	switch {
	case errors.Is(err, ErrUnknown):
		writeError(w, http.StatusNotFound, err)
	case err != nil:
		writeError(w, http.StatusConflict, err)
	default:
		if body.Used != nil {
			r.SetUsed(name, *body.Used)
		}
		writeJSON(w, http.StatusOK, lease)
	}
}

func (r *Registry) leave(w http.ResponseWriter, req *http.Request) {
	if err := r.Leave(req.PathValue("name")); err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readJSON decodes the body of the request into v. It returns false if it has
// responded with an error.
func readJSON(w http.ResponseWriter, req *http.Request, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return false
	}
	if err := json.Unmarshal(data, v); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes err as an RFC 9457 problem.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"status": status, "title": http.StatusText(status), "detail": err.Error()})
}
