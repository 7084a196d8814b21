package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Versions limits the choice of targets by the version of their software, while the service
// moves to a new version. The zero value allows all.
type Versions struct {
	// Split separates the targets; nil allows all.
	Split *Split
	// UseNew chooses among the targets of the new version, as long as there are any that may
	// get the call, and otherwise among the others.
	UseNew bool
	// IsMoved says that the whole traffic goes to the new version, whose targets are the last
	// resort then, too.
	IsMoved bool
}

// Split separates the targets of a service by version. It is never changed once used.
type Split struct {
	// Version is the new version, "" if there is none.
	Version string
	// Canaries is the number of new targets that get calls; 0 means all.
	Canaries int
	// Barred lists versions whose targets get no calls.
	Barred []string
}

// splitView holds the two parts of a view under a split.
type splitView struct {
	split    *Split
	old, new *view
}

// splitBy returns the parts of the view under the split.
func (v *view) splitBy(split *Split) *splitView {
	if s := v.lastSplit.Load(); s != nil && s.split == split {
		return s
	}
	s := &splitView{split: split, old: new(view), new: new(view)}
	var fresh []*target
	for _, t := range v.all {
		switch version := t.record.Load().Version; {
		case version != "" && slices.Contains(split.Barred, version):
		case version != "" && version == split.Version:
			fresh = append(fresh, t)
		default:
			s.old.all = append(s.old.all, t)
		}
	}
	if split.Canaries > 0 && len(fresh) > split.Canaries {
		// All daemons choose the same canaries, whatever the order of their tables.
		slices.SortFunc(fresh, func(a, b *target) int { return cmp.Compare(canaryRank(a), canaryRank(b)) })
		fresh = fresh[:split.Canaries]
	}
	s.new.all = fresh
	for _, part := range []*view{s.old, s.new} {
		for _, t := range part.all {
			if slices.Contains(v.local, t) {
				part.local = append(part.local, t)
			}
		}
	}
	v.lastSplit.Store(s)
	return s
}

// canaryRank returns the order in which targets become canaries: the lowest is first.
func canaryRank(t *target) uint64 { return xxhash.Sum64String(t.record.Load().InstanceID) }

// allowed returns the part of the view that a call may be sent to: that of the old version, or
// of the new one if the whole traffic goes there and it has targets.
func (v *view) allowed(versions Versions) *view {
	if versions.Split == nil {
		return v
	}
	s := v.splitBy(versions.Split)
	if versions.IsMoved && len(s.new.all) > 0 {
		return s.new
	}
	return s.old
}
