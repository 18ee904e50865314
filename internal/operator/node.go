package operator

import (
	"context"
	"net/http"
)

func (h *Handler) getNodes(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := h.actionContext(r)
	defer cancel()
	nodes, err := h.backend.Nodes(ctx)
	if err != nil {
		h.writeError(w, "list nodes", err)
		return
	}
	if nodes == nil {
		nodes = []Node{}
	}
	writeJSON(w, http.StatusOK, nodes)
}

func (h *Handler) postDrain(w http.ResponseWriter, r *http.Request) {
	h.runAction(w, r, "drain node", h.backend.Drain)
}

func (h *Handler) postRetire(w http.ResponseWriter, r *http.Request) {
	h.runAction(w, r, "retire agent", h.backend.Retire)
}

// runAction calls action with the name of the node from the path.
func (h *Handler) runAction(w http.ResponseWriter, r *http.Request, step string, action func(ctx context.Context, name string) error) {
	ctx, cancel := h.actionContext(r)
	defer cancel()
	name := r.PathValue("name")
	if err := action(ctx, name); err != nil {
		h.writeError(w, step, err)
		return
	}
	h.logger.Info("operator action done", "step", step, "node", name)
	w.WriteHeader(http.StatusNoContent)
}
