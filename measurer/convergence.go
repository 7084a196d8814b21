package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/spreader"
	"bambooweir.example/bambooweir/versioner"
)

const (
	convergenceTimeout      = 90 * time.Second
	convergencePollInterval = 20 * time.Millisecond
	// maxMemoryReads is the maximum number of times that memoryInUse reads the
	// memory; the reads are memoryReadInterval apart.
	maxMemoryReads     = 10
	memoryReadInterval = 200 * time.Millisecond
	// burstFraction is the probability that a change follows the previous one
	// without a pause.
	burstFraction = 0.5
	// meanChangeGap is the mean pause before a change outside of a burst. Pauses
	// are exponentially distributed and cut off at four times the mean.
	meanChangeGap = 500 * time.Millisecond
)

// ConvergencePlan configures a measurement of convergence.
type ConvergencePlan struct {
	// Modes lists the spreader's modes to measure.
	Modes []string
	// Daemons lists the fleet sizes to measure.
	Daemons []int
	// Domains is the number of failure domains.
	Domains int
	// Changes is the number of changes accepted in each fleet.
	Changes int
	// Coalesce lists the coalescing windows to measure in mode tree; the other
	// modes use the first one only. It must not be empty.
	Coalesce []time.Duration
	// Poll is the time between two reads in mode poll.
	Poll time.Duration
	// Settle is the pause between the completion of a fleet and its measurement.
	Settle time.Duration
	// Idle is the length of the measurement without changes.
	Idle time.Duration
	// Fanout bounds the children of one daemon; 0 means the spreader's default.
	Fanout int
	// Targets is the number of targets in the table; Services is the number of
	// services in the configuration.
	Targets, Services int
	Seed              uint64
}

// ConvergenceReport holds the results of one MeasureConvergence.
type ConvergenceReport struct {
	Seed    uint64           `json:"seed"`
	Machine Machine          `json:"machine"`
	Rows    []ConvergenceRow `json:"rows"`
}

// ConvergenceRow holds the results of one fleet. Bytes are counted at the
// sockets, sent and received together, without TCP and IP headers.
type ConvergenceRow struct {
	Mode       string `json:"mode"`
	Daemons    int    `json:"daemons"`
	CoalesceMS int64  `json:"coalesce-ms"`
	Targets    int    `json:"targets"`
	// P50MS, P99MS and MaxMS are quantiles of the time from the acceptance of a
	// change until it was in force on a daemon, over all changes and daemons, in
	// milliseconds.
	P50MS float64 `json:"p50-ms"`
	P99MS float64 `json:"p99-ms"`
	MaxMS float64 `json:"max-ms"`
	// BytesPerChange is the bytes of a daemon in excess of its idle rate, for each
	// change; Busiest is those of the daemon with the most bytes.
	BytesPerChange        float64 `json:"bytes-per-change-mean"`
	BytesPerChangeBusiest float64 `json:"bytes-per-change-busiest"`
	IdleBytes             float64 `json:"idle-bytes-per-second-mean"`
	IdleBytesBusiest      float64 `json:"idle-bytes-per-second-busiest"`
	// StoreCallsPerChange is the calls to the store in excess of the idle rate,
	// for each change.
	StoreCallsPerChange float64 `json:"store-calls-per-change"`
	IdleStoreCalls      float64 `json:"idle-store-calls-per-second"`
	// IdleCPUPercent and CPUPercent are the processor time of the process divided
	// by the number of daemons, in percent of a core. They include the fake store.
	IdleCPUPercent float64 `json:"idle-cpu-percent"`
	CPUPercent     float64 `json:"cpu-percent"`
	MemoryMB       float64 `json:"memory-mb"`
}

// MeasureConvergence measures the fleets of the plan, one after the other.
func MeasureConvergence(ctx context.Context, plan ConvergencePlan) (*ConvergenceReport, error) {
	report := &ConvergenceReport{Seed: plan.Seed, Machine: currentMachine()}
	for _, mode := range plan.Modes {
		windows := plan.Coalesce
		if spreader.Mode(mode) != spreader.ModeTree {
			windows = windows[:1]
		}
		for _, n := range plan.Daemons {
			for _, window := range windows {
				row, err := measureFleet(ctx, plan, mode, n, window)
				if err != nil {
					return nil, errorx.Decorate(err, "%s, %d daemons", mode, n)
				}
				report.Rows = append(report.Rows, *row)
			}
		}
	}
	return report, nil
}

// usage holds the cumulative costs of a fleet at one time.
type usage struct {
	at time.Time
	// bytes holds the bytes of each member.
	bytes      []int64
	storeCalls int64
	cpu        time.Duration
}

// usage returns the costs of the fleet so far.
func (f *spreadFleet) usage() usage {
	u := usage{at: time.Now(), storeCalls: f.storeCalls(), cpu: processCPU()}
	for _, m := range f.members {
		u.bytes = append(u.bytes, m.bytes.Load())
	}
	return u
}

// processCPU returns the user and system time of this process so far.
func processCPU() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// memoryInUse returns the memory of heap and stacks once it has stopped falling.
// The memory of a stopped fleet becomes free only after some time.
func memoryInUse() uint64 {
	var least uint64
	for range maxMemoryReads {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		used := m.HeapInuse + m.StackInuse
		if least != 0 && used > least-least/100 {
			return min(used, least)
		}
		least = used
		time.Sleep(memoryReadInterval)
	}
	return least
}

// rates holds the costs of a fleet between two readings. All but seconds are per
// second; meanBytes and busiestBytes are the bytes of the mean and of the busiest
// member, and cpuPercent is the mean over the members, in percent of a core.
type rates struct {
	seconds, meanBytes, busiestBytes, storeCalls, cpuPercent float64
}

// ratesSince returns the rates between start and u.
func (u usage) ratesSince(start usage) rates {
	r := rates{seconds: u.at.Sub(start.at).Seconds()}
	for i := range u.bytes {
		perSecond := float64(u.bytes[i]-start.bytes[i]) / r.seconds
		r.meanBytes += perSecond / float64(len(u.bytes))
		r.busiestBytes = max(r.busiestBytes, perSecond)
	}
	r.storeCalls = float64(u.storeCalls-start.storeCalls) / r.seconds
	r.cpuPercent = 100 * (u.cpu - start.cpu).Seconds() / r.seconds / float64(len(u.bytes))
	return r
}

// measureFleet measures one fleet of n daemons, first idle and then during the
// change log.
func measureFleet(ctx context.Context, plan ConvergencePlan, mode string, n int, window time.Duration) (*ConvergenceRow, error) {
	memoryBefore := memoryInUse()
	f, err := newSpreadFleet(ctx, plan, mode, n, window)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.settle(ctx, plan.Settle); err != nil {
		return nil, err
	}
	start := f.usage()
	if err := sleeper.Sleep(ctx, plan.Idle); err != nil {
		return nil, err
	}
	idleEnd := f.usage()
	accepted, err := f.runChangeLog(ctx, plan)
	if err != nil {
		return nil, err
	}
	end := f.usage()
	row := &ConvergenceRow{Mode: mode, Daemons: n, CoalesceMS: window.Milliseconds(), Targets: plan.Targets}
	row.MemoryMB = float64(int64(memoryInUse())-int64(memoryBefore)) / (1 << 20) / float64(n)
	row.setRates(idleEnd.ratesSince(start), end.ratesSince(idleEnd), plan.Changes)
	row.setDelays(f.delays(accepted))
	return row, nil
}

// setRates sets the costs of the row from the rates without and with changes.
func (r *ConvergenceRow) setRates(idle, busy rates, changes int) {
	perChange := busy.seconds / float64(changes)
	r.IdleBytes, r.IdleBytesBusiest = idle.meanBytes, idle.busiestBytes
	r.BytesPerChange = (busy.meanBytes - idle.meanBytes) * perChange
	r.BytesPerChangeBusiest = (busy.busiestBytes - idle.busiestBytes) * perChange
	r.IdleStoreCalls = idle.storeCalls
	r.StoreCallsPerChange = (busy.storeCalls - idle.storeCalls) * perChange
	r.IdleCPUPercent, r.CPUPercent = idle.cpuPercent, busy.cpuPercent
}

// setDelays sets the quantiles of the row. It sorts delays.
func (r *ConvergenceRow) setDelays(delays []time.Duration) {
	if len(delays) == 0 {
		return
	}
	slices.Sort(delays)
	quantile := func(share float64) float64 {
		return float64(delays[int(share*float64(len(delays)-1))].Microseconds()) / 1000
	}
	r.P50MS, r.P99MS, r.MaxMS = quantile(0.5), quantile(0.99), quantile(1)
}

// runChangeLog accepts the changes at times that the seed determines, waits until
// the last version is in force on every member, and returns the time at which
// each version was accepted.
func (f *spreadFleet) runChangeLog(ctx context.Context, plan ConvergencePlan) (map[versioner.Version]time.Time, error) {
	rng := rand.New(rand.NewPCG(plan.Seed, 0))
	accepted := make(map[versioner.Version]time.Time)
	var last versioner.Version
	for i := range plan.Changes {
		if rng.Float64() >= burstFraction {
			gap := time.Duration(rng.ExpFloat64() * float64(meanChangeGap))
			if err := sleeper.Sleep(ctx, min(gap, 4*meanChangeGap)); err != nil {
				return nil, err
			}
		}
		entry := route(fmt.Sprintf("route-%03d", rng.IntN(max(1, plan.Services))), fmt.Sprintf("/changed/%d", i), serviceName(0), ownerPartner, versioner.ClassLookup)
		v, err := f.accept(ctx, entry)
		if err != nil {
			return nil, err
		}
		accepted[v] = time.Now()
		last = v
	}
	return accepted, f.await(ctx, func() bool { return f.lowestVersion() >= last })
}

// delays returns, for each change and daemon, the time from acceptance until it
// was in force. For a version that a daemon skipped, it counts the time until the
// daemon had a later one in force.
func (f *spreadFleet) delays(accepted map[versioner.Version]time.Time) []time.Duration {
	var delays []time.Duration
	for _, m := range f.members {
		applied := m.Applier.History()
		for v, at := range accepted {
			i := slices.IndexFunc(applied, func(a appliedVersion) bool { return a.Version >= v })
			if i >= 0 {
				delays = append(delays, max(0, applied[i].At.Sub(at)))
			}
		}
	}
	return delays
}

// accept commits the entries as a new version of the configuration.
func (f *spreadFleet) accept(ctx context.Context, entries ...versioner.Entry) (versioner.Version, error) {
	f.changes++
	return f.acceptor.Accept(ctx, acceptor.Change{
		Audit:   versioner.Audit{ChangeID: fmt.Sprint("change-", f.changes), Author: "measurer", Partner: ownerPartner, Reason: "measurement"},
		Upserts: entries,
	})
}
