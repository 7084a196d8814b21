package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Since returns up to limit records that have changed after the given change, except those
// that came from the source, and the change up to which the source then knows them.
func (t *Table) Since(change, source uint64, limit int) (records []Record, next uint64) {
	if t.IsEmpty() {
		return nil, change
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if change == t.changes {
		return nil, change
	}
	newer := slices.DeleteFunc(t.all(), func(e *entry) bool { return e.change <= change })
	slices.SortFunc(newer, func(a, b *entry) int { return cmp.Compare(a.change, b.change) })
	now := time.Now()
	for _, e := range newer {
		if e.source == source && source != 0 {
			continue
		}
		if len(records) == limit {
			return records, next
		}
		records, next = append(records, e.recordAt(now)), e.change
	}
	return records, t.changes
}

// Find returns the records of a request at all services.
func (t *Table) Find(request Digest) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var records []Record
	for _, e := range t.entries[request] {
		records = append(records, e.recordAt(now))
	}
	return records
}

// recordAt returns the entry's record with its age.
func (e *entry) recordAt(now time.Time) Record {
	r := e.Record
	r.AgeMS = now.Sub(e.crashedAt).Milliseconds()
	return r
}

// Quarantined returns the records of the requests that are quarantined at their service, the
// newest first.
func (t *Table) Quarantined() []Record {
	return t.find(func(v Verdict) bool { return v.Status == StatusQuarantined })
}

// Convicted returns the records of the requests that have ended quarantineCrashes targets of
// their service or more: those that are quarantined, and after them those that would be with a
// trial. In each part the newest are first.
func (t *Table) Convicted() []Record {
	return append(t.Quarantined(), t.find(func(v Verdict) bool {
		return v.Status == StatusSuspected && v.Crashes >= quarantineCrashes
	})...)
}

// find returns the records of the requests whose verdict matches, the newest first.
func (t *Table) find(matches func(Verdict) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var records []Record
	for _, e := range t.all() {
		if matches(t.judge(e.Request, e.Service, now)) {
			records = append(records, e.recordAt(now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), slices.Compare(a.Request[:], b.Request[:]))
	})
	return records
}

// ConvictedShare returns at most n of the records that Convicted returns. Partners take turns,
// each with its first ones first, so that none displaces the others'.
func (t *Table) ConvictedShare(n int) []Record {
	byPartner := make(map[string][]Record)
	var partners []string
	for _, r := range t.Convicted() {
		if byPartner[r.Partner] == nil {
			partners = append(partners, r.Partner)
		}
		byPartner[r.Partner] = append(byPartner[r.Partner], r)
	}
	var share []Record
	for len(partners) > 0 && len(share) < n {
		p := partners[0]
		partners = partners[1:]
		share = append(share, byPartner[p][0])
		if byPartner[p] = byPartner[p][1:]; len(byPartner[p]) > 0 {
			partners = append(partners, p)
		}
	}
	return share
}
