package operator

import (
	"net/http"

	"gypsumtide/internal/object"
)

// EvacuationsResponse is the response body with the evacuated availability zones by the
// configuration revision. A node that reports at least the revision in which an evacuation
// began has taken note of it.
type EvacuationsResponse struct {
	Revision    uint64                 `json:"revision"`
	Evacuations []object.EvacuatedZone `json:"evacuations"`
}

func (h *Handler) getEvacuations(w http.ResponseWriter, _ *http.Request) {
	if !h.requireReady(w, "list evacuations") {
		return
	}
	c := h.configuration.Current()
	response := EvacuationsResponse{Revision: c.Number(), Evacuations: c.EvacuatedZones()}
	if response.Evacuations == nil {
		response.Evacuations = []object.EvacuatedZone{}
	}
	writeJSON(w, http.StatusOK, response)
}
