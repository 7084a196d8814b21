package quoter

import "time"

const (
	// silentTime is how long an instance that did not reply is not asked again.
	silentTime = time.Second
	// evidenceTime is how long the result of an ask shows which part of the fleet can be
	// reached.
	evidenceTime = 2 * time.Second
	// reachInterval is how long a computed scale is used again.
	reachInterval = 100 * time.Millisecond
)

// peer is what the asks to and from an instance have shown.
type peer struct{ heard, failed time.Time }

// peerTable records which instances reply. Its size is bounded by the fleet and by what
// was asked within evidenceTime.
type peerTable struct {
	byID     map[string]peer
	scale    float64
	scaledAt time.Time
	scaledOf *Members
}

// record records whether an instance has replied.
func (t *peerTable) record(now time.Time, id string, replied bool) {
	if t.byID == nil {
		t.byID = make(map[string]peer)
	}
	p := t.byID[id]
	if replied {
		p = peer{heard: now}
	} else {
		p.failed = now
		t.scaledAt = time.Time{}
	}
	t.byID[id] = p
}

// isSilent reports whether an instance did not reply a short time ago.
func (t *peerTable) isSilent(now time.Time, id string) bool {
	p := t.byID[id]
	return !p.failed.IsZero() && now.Sub(p.failed) < silentTime
}

// share returns the part of the fleet that this daemon can reach, counting itself: a home
// grants only this part of the rate, since the rest of the fleet may have another home or
// use its own shares.
func (t *peerTable) share(now time.Time, m *Members) float64 {
	if t.scaledOf == m && now.Sub(t.scaledAt) < reachInterval {
		return t.scale
	}
	heard, failed := 1, 0
	for id, p := range t.byID {
		switch {
		case now.Sub(p.heard) >= evidenceTime && now.Sub(p.failed) >= evidenceTime:
			delete(t.byID, id)
		case !m.isLive(id):
		case !p.failed.IsZero():
			failed++
		default:
			heard++
		}
	}
	lost := m.Strangers
	for _, id := range m.Lost {
		if p, ok := t.byID[id]; !ok || !p.failed.IsZero() {
			lost++
		}
	}
	live := m.live() + m.elsewhere() - lost
	reached := float64(live) * float64(heard) / float64(heard+failed)
	t.scale = max(1, reached) / float64(max(1, live+lost))
	t.scaledAt, t.scaledOf = now, m
	return t.scale
}
