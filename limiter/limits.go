package limiter

import (
	"slices"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/versioner"
)

// class is the place of a call class in classNames.
type class int

const classCount = 4

var classNames = [classCount]string{
	versioner.ClassInternalRead, versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan,
}

func findClass(name string) (class, bool) {
	i := slices.Index(classNames[:], name)
	return class(i), i >= 0
}

// limits are the numbers of one snapshot for the service of this target.
//
// Invariant: general plus the sum of reserved is slots, and general is at least 1.
type limits struct {
	slots       int
	general     int
	reserved    [classCount]int
	queueLength [classCount]int
	queueWait   [classCount]time.Duration
}

// account is what is booked on one partner. Calls that name no partner of the
// configuration share the account with the empty name, which has no guarantee.
type account struct {
	partner           string
	guarantee         int
	reservedGuarantee [classCount]int
	generalRunning    int
	reservedRunning   [classCount]int
	queues            [classCount][]*waiter
	// seen is when the partner's last call of each class came.
	seen [classCount]time.Time
}

// lastSeen returns when the partner's last call came.
func (a *account) lastSeen() time.Time { return slices.MaxFunc(a.seen[:], time.Time.Compare) }

func (a *account) idle() bool {
	waiting, running := 0, a.generalRunning
	for c := range classCount {
		waiting += len(a.queues[c])
		running += a.reservedRunning[c]
	}
	return waiting+running == 0
}

// update takes over the snapshot in force if it is another. The caller holds mu.
func (l *Limiter) update() {
	snapshot, announced := l.Applier.Current(), 0
	if l.Announced != nil {
		announced = l.Announced()
	}
	if snapshot == l.snapshot && announced == l.announced && l.limits.slots > 0 {
		return
	}
	l.snapshot, l.announced = snapshot, announced
	l.limits = newLimits(snapshot, l.Service(), announced)
	var shares []applier.Share
	if snapshot != nil {
		shares = snapshot.Shares()
	}
	l.bookShares(shares)
}

func newLimits(s *applier.Snapshot, service string, announced int) limits {
	n := limits{slots: lower(applier.DefaultSlots, announced)}
	if s != nil {
		for c, name := range classNames {
			p := s.Policy(service, name, "")
			if p == nil {
				continue
			}
			n.slots = lower(p.Slots, announced)
			if announced > 0 && !p.SlotsConfigured {
				n.slots = announced
			}
			n.queueLength[c], n.queueWait[c] = p.QueueLength, p.QueueWait
			if p.ReservedPercent > 0 {
				n.reserved[c] = max(1, (n.slots*p.ReservedPercent+50)/100)
			}
		}
	}
	n.general = n.slots
	for c := range classCount {
		n.reserved[c] = min(n.reserved[c], n.general-1)
		n.general -= n.reserved[c]
	}
	return n
}

// lower returns the smaller of two limits, of which the second is not set at 0.
func lower(limit, announced int) int {
	if announced == 0 {
		return limit
	}
	return min(limit, announced)
}

// bookShares opens the accounts of the partners and sets their guarantees. An
// account that is no longer named stays without a guarantee while it has calls.
func (l *Limiter) bookShares(shares []applier.Share) {
	l.accounts = slices.DeleteFunc(l.accounts, func(a *account) bool { return a.idle() && !named(shares, a.partner) })
	for _, a := range l.accounts {
		a.guarantee, a.reservedGuarantee = 0, [classCount]int{}
	}
	general := apportion(l.limits.general, shares)
	for i, share := range shares {
		a := l.open(share.Partner)
		a.guarantee = general[i]
	}
	for c := range classCount {
		for i, n := range apportion(l.limits.reserved[c], shares) {
			l.open(shares[i].Partner).reservedGuarantee[c] = n
		}
	}
}

func named(shares []applier.Share, partner string) bool {
	return slices.ContainsFunc(shares, func(s applier.Share) bool { return s.Partner == partner })
}

// account returns the account that a call of the partner is booked on.
func (l *Limiter) account(partner string) *account {
	for _, a := range l.accounts {
		if a.partner == partner {
			return a
		}
	}
	return l.open("")
}

func (l *Limiter) open(partner string) *account {
	i := slices.IndexFunc(l.accounts, func(a *account) bool { return a.partner == partner })
	if i >= 0 {
		return l.accounts[i]
	}
	a := &account{partner: partner}
	l.accounts = append(l.accounts, a)
	return a
}

// apportion divides slots by shares in percent; when no share is set, all are
// equal. Every share gets its whole part, then one more each in the order of
// what was cut off while the shares' sum allows it. No part is below 1 while
// there are slots enough.
func apportion(slots int, shares []applier.Share) []int {
	parts := make([]int, len(shares))
	percents := effectivePercents(shares)
	total := 0
	for _, percent := range percents {
		total += percent
	}
	if total == 0 || slots == 0 {
		return parts
	}
	base := max(total, 100)
	given, target := 0, slots*total/base
	for i, percent := range percents {
		parts[i] = slots * percent / base
		given += parts[i]
	}
	order := make([]int, len(shares))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return slots*percents[j]%base - slots*percents[i]%base
	})
	for _, i := range order {
		if given < target && percents[i] > 0 {
			parts[i]++
			given++
		}
	}
	raiseEmpty(parts, percents, slots)
	return parts
}

// effectivePercents returns the shares, or equal ones when none is set.
func effectivePercents(shares []applier.Share) []int {
	percents := make([]int, len(shares))
	sum := 0
	for i, share := range shares {
		percents[i] = share.Percent
		sum += share.Percent
	}
	if sum > 0 || len(shares) == 0 {
		return percents
	}
	for i := range percents {
		percents[i] = max(1, 100/len(shares))
	}
	return percents
}

// raiseEmpty gives one slot to each share that got none, from what is not
// apportioned or else from the largest part above 1.
func raiseEmpty(parts, percents []int, slots int) {
	free := slots
	for _, n := range parts {
		free -= n
	}
	for i := range parts {
		if parts[i] > 0 || percents[i] == 0 {
			continue
		}
		if free > 0 {
			free--
			parts[i]++
			continue
		}
		largest := slices.Index(parts, slices.Max(parts))
		if parts[largest] > 1 {
			parts[largest]--
			parts[i]++
		}
	}
}
