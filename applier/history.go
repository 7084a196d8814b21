package applier

import (
	"slices"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

// maxHistory bounds the versions that a daemon remembers to have put in force.
const maxHistory = 256

// Applied records that a version was put in force.
type Applied struct {
	Version versioner.Version `json:"version"`
	Digest  string            `json:"digest"`
	At      time.Time         `json:"at"`
}

// History returns the newest versions put in force, oldest first.
func (a *Applier) History() []Applied {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.history)
}

// record notes a version put in force. The caller holds mu.
func (a *Applier) record(s *Snapshot) {
	if len(a.history) == maxHistory {
		a.history = slices.Delete(a.history, 0, 1)
	}
	a.history = append(a.history, Applied{Version: s.Version(), Digest: s.Digest.String(), At: time.Now()})
}
