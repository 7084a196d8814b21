package faketarget

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"bambooweir.example/bambooweir/tracker"
)

// ControlPrefix is the path prefix of the resources that control the fake target.
const ControlPrefix = "/fake-target/"

// Paths of the resources that control the fake target.
const (
	RunsPath     = ControlPrefix + "runs"
	StatusPath   = ControlPrefix + "status"
	BehaviorPath = ControlPrefix + "behavior"
	DrainPath    = ControlPrefix + "drain"
	HealthPath   = ControlPrefix + "health"
)

// Status is the answer of StatusPath.
type Status struct {
	Service  string `json:"service"`
	State    string `json:"state"`
	Runs     int    `json:"runs"`
	InFlight int    `json:"in-flight"`
	// Drained is the time at which the daemon had first acknowledged the drain;
	// zero before that.
	Drained time.Time `json:"drained,omitzero"`
}

// serveControl serves the paths under ControlPrefix and reports whether r was for
// one of them.
func (t *Target) serveControl(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, ControlPrefix) {
		return false
	}
	switch r.Method + " " + r.URL.Path {
	case "GET " + RunsPath:
		writeJSON(w, t.Runs())
	case "GET " + StatusPath:
		writeJSON(w, t.Status())
	case "PUT " + BehaviorPath:
		var b Behavior
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return true
		}
		t.SetBehavior(b)
	case "PUT " + DrainPath:
		if err := t.Drain(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	case "GET " + HealthPath:
		if t.currentBehavior().Unhealthy {
			http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		}
	default:
		http.NotFound(w, r)
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// stateLocked returns the announced state. The caller holds mu.
func (t *Target) stateLocked() tracker.State {
	if t.state == 0 {
		return tracker.StateReady
	}
	return t.state
}
