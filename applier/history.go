package applier

import (
	"slices"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

// maxHistory bounds the number of records that History returns.
const maxHistory = 256

// Applied records that a version was put in force.
type Applied struct {
	Version versioner.Version `json:"version"`
	Digest  string            `json:"digest"`
	At      time.Time         `json:"at"`
}

// History returns records of the last maxHistory versions that this process put
// in force, oldest first.
func (a *Applier) History() []Applied {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.history)
}

// record adds a version to the history. The caller holds mu.
func (a *Applier) record(s *Snapshot) {
	if len(a.history) == maxHistory {
		a.history = slices.Delete(a.history, 0, 1)
	}
	a.history = append(a.history, Applied{Version: s.Version(), Digest: s.Digest.String(), At: time.Now()})
}
