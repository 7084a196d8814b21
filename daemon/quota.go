package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/tracker"
)

// errUnknownInstance means that the membership table has no record of an instance.
var errUnknownInstance = errors.New("instance is not known")

// newQuoter returns the quoter of this daemon.
func (d *Daemon) newQuoter(cfg *loader.Daemon) *quoter.Quoter {
	members := &quotaMembers{table: d.table, strangers: d.spreader.Strangers}
	return &quoter.Quoter{
		InstanceID: cfg.InstanceID, Members: members.current, Limit: d.tenantLimit, Send: d.sendQuotaAsk, Log: d.log,
	}
}

// tenantLimit returns the quota of a tenant in the configuration in force.
func (d *Daemon) tenantLimit(name string) (quoter.Limit, bool) {
	snapshot := d.applier.Current()
	if snapshot == nil {
		return quoter.Limit{}, false
	}
	tenant := snapshot.TenantByName(name)
	if tenant == nil || !tenant.HasQuota() {
		return quoter.Limit{}, false
	}
	return quoter.Limit{RatePerS: tenant.Config.RatePerS, Burst: tenant.Config.Burst}, true
}

// sendQuotaAsk sends an ask to another daemon over a call link.
func (d *Daemon) sendQuotaAsk(ctx context.Context, instanceID string, ask quoter.Ask) (quoter.Reply, error) {
	to, ok := d.table.Find(instanceID)
	if !ok {
		return quoter.Reply{}, errUnknownInstance
	}
	m := &messenger.QuotaAsk{ID: messenger.NewCallID(), Asker: d.quoter.InstanceID, Ask: ask}
	answer, err := d.forwarder.Ask(ctx, to, m.ID, m)
	if err != nil {
		return quoter.Reply{}, err
	}
	if answer.Quota == nil {
		return quoter.Reply{}, fmt.Errorf("instance %s keeps no quotas", instanceID)
	}
	return *answer.Quota, nil
}

// observeInterval is the time between two looks at the membership table for the quoter.
const observeInterval = 500 * time.Millisecond

// rebuildInterval is the shortest time between two readings of the whole table.
const rebuildInterval = 100 * time.Millisecond

// observeQuotaMembers tells the quoter of changes of the members until ctx ends. It costs
// nothing while no tenant is configured.
func (d *Daemon) observeQuotaMembers(ctx context.Context) {
	for sleeper.Sleep(ctx, observeInterval) == nil {
		if snapshot := d.applier.Current(); snapshot != nil && snapshot.HasTenants() {
			d.quoter.ObserveMembers()
		}
	}
}

// quotaMembers derives the members of the fleet from the membership table.
type quotaMembers struct {
	table *tracker.Table
	// strangers returns the number of instances of the fleet that the table lacks, and whether
	// that is known.
	strangers func() (n int, isCounted bool)

	mu      sync.Mutex
	at      tracker.Cursor
	built   time.Time
	members *quoter.Members
	// lost holds the incarnations of the lost members.
	lost map[string]uint64
}

// current returns the members. It returns the same value as long as they are the same.
func (m *quotaMembers) current() *quoter.Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.table.Now()
	strangers, isCounted := m.strangers()
	isSame := m.members != nil && m.at == now && m.members.Strangers == strangers && m.members.IsUncounted != isCounted
	if isSame || m.members != nil && time.Since(m.built) < rebuildInterval {
		return m.members
	}
	records := m.table.All()
	next := groupMembers(records)
	next.Strangers, next.IsUncounted = strangers, !isCounted
	next.Returns = m.countReturns(records)
	if m.members == nil || !isSameMembers(m.members, next) {
		m.members = next
	}
	m.at, m.built = now, time.Now()
	return m.members
}

// countReturns returns the number of returns so far, and takes note of who is lost. The caller
// holds mu.
func (m *quotaMembers) countReturns(records []tracker.Record) int {
	returns := 0
	if m.members != nil {
		returns = m.members.Returns
	}
	lost := make(map[string]uint64)
	for _, r := range records {
		switch incarnation, wasLost := m.lost[r.InstanceID]; {
		case r.IsLost():
			lost[r.InstanceID] = r.Incarnation
		case wasLost && incarnation == r.Incarnation:
			returns++
		}
	}
	m.lost = lost
	return returns
}

// groupMembers groups the instances of records, which are sorted by instance ID.
func groupMembers(records []tracker.Record) *quoter.Members {
	members := new(quoter.Members)
	for _, r := range records {
		switch {
		case r.State == tracker.StateReady || r.State == tracker.StateWarming:
			members.Ready = append(members.Ready, r.InstanceID)
		case r.State == tracker.StateDraining:
			members.Leaving = append(members.Leaving, r.InstanceID)
		case r.IsLost():
			members.Lost = append(members.Lost, r.InstanceID)
		}
	}
	return members
}

// isSameMembers reports whether both hold the same instances.
func isSameMembers(a, b *quoter.Members) bool {
	return slices.Equal(a.Ready, b.Ready) && slices.Equal(a.Leaving, b.Leaving) && slices.Equal(a.Lost, b.Lost) && a.Returns == b.Returns &&
		a.Strangers == b.Strangers && a.IsUncounted == b.IsUncounted
}
