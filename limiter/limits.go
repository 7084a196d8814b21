package limiter

import (
	"slices"
	"time"

	"bambooweir.example/bambooweir/applier"
	"bambooweir.example/bambooweir/versioner"
)

// class is the index of a call class in classNames.
type class int

const classCount = 4

var classNames = [classCount]string{
	versioner.ClassInternalRead, versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan,
}

// findClass returns the class with a name, and whether it exists.
func findClass(name string) (class, bool) {
	i := slices.Index(classNames[:], name)
	return class(i), i >= 0
}

// limits holds the admission limits that one configuration snapshot sets for the
// service of this target.
//
// Invariant: general plus the sum of reserved equals slots; general is at least 1.
type limits struct {
	slots       int
	general     int
	reserved    [classCount]int
	queueLength [classCount]int
	queueWait   [classCount]time.Duration
}

// account holds the guarantees, running calls and queues of one partner. Calls
// whose partner is not in the configuration share the account with the empty name,
// which has no guarantee.
type account struct {
	partner           string
	guarantee         int
	reservedGuarantee [classCount]int
	generalRunning    int
	reservedRunning   [classCount]int
	queues            [classCount][]*waiter
	// virtualTime is when the partner's next call would have its turn if only calls under
	// a rate limit counted, in calls per slot of its guarantee.
	virtualTime float64
	// lastCall is when the partner's last call of each class arrived.
	lastCall [classCount]time.Time
}

// lastCallOfAnyClass returns when the partner's last call arrived.
func (a *account) lastCallOfAnyClass() time.Time {
	return slices.MaxFunc(a.lastCall[:], time.Time.Compare)
}

// isIdle reports whether the account has neither waiting nor running calls.
func (a *account) isIdle() bool {
	waiting, running := 0, a.generalRunning
	for c := range classCount {
		waiting += len(a.queues[c])
		running += a.reservedRunning[c]
	}
	return waiting+running == 0
}

// refreshLimits recomputes the limits and guarantees if the current snapshot or the
// announced number of slots has changed. The caller holds mu.
func (l *Limiter) refreshLimits() {
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
	l.updateGuarantees(shares)
}

// newLimits returns the limits of a service in a snapshot, which may be nil. A
// nonzero announced number lowers the configured or default number of slots, and
// replaces it if the service is configured without one. At least one slot stays
// general.
func newLimits(s *applier.Snapshot, service string, announced int) limits {
	n := limits{slots: lowerOf(applier.DefaultSlots, announced)}
	if s != nil {
		for c, name := range classNames {
			p := s.Policy(service, name, "")
			if p == nil {
				continue
			}
			n.slots = lowerOf(p.Slots, announced)
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

// lowerOf returns the smaller of the two limits, or limit if announced is 0.
func lowerOf(limit, announced int) int {
	if announced == 0 {
		return limit
	}
	return min(limit, announced)
}

// updateGuarantees opens an account for each partner with a share and sets the
// guarantees. An account whose partner has no share any more loses its guarantee,
// and is removed if it has no calls. The caller holds mu.
func (l *Limiter) updateGuarantees(shares []applier.Share) {
	l.accounts = slices.DeleteFunc(l.accounts, func(a *account) bool { return a.isIdle() && !hasShare(shares, a.partner) })
	for _, a := range l.accounts {
		a.guarantee, a.reservedGuarantee = 0, [classCount]int{}
	}
	general := apportion(l.limits.general, shares)
	for i, share := range shares {
		a := l.openAccount(share.Partner)
		a.guarantee = general[i]
	}
	for c := range classCount {
		for i, n := range apportion(l.limits.reserved[c], shares) {
			l.openAccount(shares[i].Partner).reservedGuarantee[c] = n
		}
	}
}

// hasShare reports whether shares has an entry for the partner.
func hasShare(shares []applier.Share, partner string) bool {
	return slices.ContainsFunc(shares, func(s applier.Share) bool { return s.Partner == partner })
}

// account returns the account of the partner, or the one with the empty name if
// there is none. The caller holds mu.
func (l *Limiter) account(partner string) *account {
	for _, a := range l.accounts {
		if a.partner == partner {
			return a
		}
	}
	return l.openAccount("")
}

// openAccount returns the account of the partner and creates it if needed. The
// caller holds mu.
func (l *Limiter) openAccount(partner string) *account {
	i := slices.IndexFunc(l.accounts, func(a *account) bool { return a.partner == partner })
	if i >= 0 {
		return l.accounts[i]
	}
	a := &account{partner: partner}
	l.accounts = append(l.accounts, a)
	return a
}

// apportion divides slots by shares in percent, using the largest remainder
// method. If no share is set, all are equal. Every share first gets its part
// rounded down, then one more slot each in the order of the largest remainders,
// as far as the sum of the shares allows it. Every nonzero share gets at least one
// slot if there are enough.
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
	assigned, target := 0, slots*total/base
	for i, percent := range percents {
		parts[i] = slots * percent / base
		assigned += parts[i]
	}
	order := make([]int, len(shares))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return slots*percents[j]%base - slots*percents[i]%base
	})
	for _, i := range order {
		if assigned < target && percents[i] > 0 {
			parts[i]++
			assigned++
		}
	}
	raiseZeroParts(parts, percents, slots)
	return parts
}

// effectivePercents returns the shares in percent, or equal ones if none is set.
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

// raiseZeroParts gives one slot to each nonzero share whose part is 0, from the
// slots that are not assigned or else from the largest part if it is above 1.
func raiseZeroParts(parts, percents []int, slots int) {
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
