package canarier

import "time"

// View describes a roll-out to operators.
type View struct {
	Service string `json:"service"`
	Version string `json:"version"`
	State   string `json:"state"`
	Stage   string `json:"stage"`
	Reason  string `json:"reason,omitempty"`
	// SharePercent is the share of the calls that may go to the new version now.
	SharePercent float64 `json:"share-percent"`
	// Barred lists the versions that get no calls.
	Barred []string `json:"barred,omitempty"`
	// IsLeader says that this daemon decides. Only it knows the answers: those of the new
	// version, how many of them failed, and those of the old one.
	IsLeader   bool   `json:"leader,omitempty"`
	Answers    uint64 `json:"answers,omitempty"`
	Failures   uint64 `json:"failures,omitempty"`
	OldAnswers uint64 `json:"old-answers,omitempty"`
	ElapsedMS  int64  `json:"elapsed-ms,omitempty"`
	NewTargets int    `json:"new-targets"`
	OldTargets int    `json:"old-targets"`
}

// Views describes all roll-outs, sorted by service. It works also on a daemon that doesn't lead.
func (l *Leader) Views() []View {
	var views []View
	for _, d := range l.Part.Directives() {
		room := l.room(Order{Service: d.Service, Version: d.Version})
		v := View{
			Service: d.Service, Version: d.Version, State: d.State.String(), Stage: d.Stage.String(), Reason: d.Reason,
			SharePercent: 100 * float64(d.Share) / shareUnit, Barred: d.Barred, NewTargets: room.NewTargets, OldTargets: room.OldTargets,
		}
		l.mu.Lock()
		if r := l.runs[d.Service]; r != nil {
			v.IsLeader, v.ElapsedMS = true, time.Since(r.began).Milliseconds()
			v.Answers, v.Failures, v.OldAnswers = r.judge.NewAnswers, r.judge.NewFailures, r.judge.OldAnswers
		}
		l.mu.Unlock()
		views = append(views, v)
	}
	return views
}
