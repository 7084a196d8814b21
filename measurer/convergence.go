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
	convergenceBound = 90 * time.Second
	convergencePoll  = 20 * time.Millisecond
	// memoryLooks and memoryWait bound the wait for memory to be given back.
	memoryLooks = 10
	memoryWait  = 200 * time.Millisecond
	// burstShare is the share of changes that follow the one before at once.
	burstShare = 0.5
	// changeGap is the mean time between two changes that do not.
	changeGap = 500 * time.Millisecond
)

// ConvergencePlan says what to measure.
type ConvergencePlan struct {
	Modes   []string
	Daemons []int
	Domains int
	Changes int
	// Coalesce lists the windows to measure, in mode tree only.
	Coalesce []time.Duration
	// Poll is the time between two reads in mode poll.
	Poll time.Duration
	// Settle is the time that a grown fleet is given to come to rest.
	Settle time.Duration
	// Idle is the length of the measurement without changes.
	Idle time.Duration
	// Fanout bounds the children of one daemon; 0 means the spreader's default.
	Fanout int
	// Targets and Services are the size of the table and of the configuration.
	Targets, Services int
	Seed              uint64
}

// ConvergenceReport holds the figures of one run.
type ConvergenceReport struct {
	Seed    uint64           `json:"seed"`
	Machine Machine          `json:"machine"`
	Rows    []ConvergenceRow `json:"rows"`
}

// ConvergenceRow holds the figures of one fleet. Bytes are counted at the
// sockets, sent and received together, without the headers of TCP and IP.
type ConvergenceRow struct {
	Mode       string `json:"mode"`
	Daemons    int    `json:"daemons"`
	CoalesceMS int64  `json:"coalesce-ms"`
	Targets    int    `json:"targets"`
	// Times from acceptance until a version was in force on a daemon, over all
	// changes and daemons, in milliseconds.
	P50MS float64 `json:"p50-ms"`
	P99MS float64 `json:"p99-ms"`
	MaxMS float64 `json:"max-ms"`
	// BytesPerChange are a daemon's bytes above its idle rate, by change.
	BytesPerChange        float64 `json:"bytes-per-change-mean"`
	BytesPerChangeBusiest float64 `json:"bytes-per-change-busiest"`
	IdleBytes             float64 `json:"idle-bytes-per-second-mean"`
	IdleBytesBusiest      float64 `json:"idle-bytes-per-second-busiest"`
	// StoreCallsPerChange counts the calls above the idle rate.
	StoreCallsPerChange float64 `json:"store-calls-per-change"`
	IdleStoreCalls      float64 `json:"idle-store-calls-per-second"`
	// Shares of one core for one daemon, the store's stand-in included.
	IdleCPUPercent float64 `json:"idle-cpu-percent"`
	CPUPercent     float64 `json:"cpu-percent"`
	MemoryMB       float64 `json:"memory-mb"`
}

// MeasureConvergence runs the fleets of the plan one after the other.
func MeasureConvergence(ctx context.Context, plan ConvergencePlan) (*ConvergenceReport, error) {
	report := &ConvergenceReport{Seed: plan.Seed, Machine: thisMachine()}
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

// usage is what a fleet used up to a moment.
type usage struct {
	at    time.Time
	bytes []int64
	calls int64
	cpu   time.Duration
}

func (f *spreadFleet) usage() usage {
	u := usage{at: time.Now(), calls: f.storeCalls(), cpu: processCPU()}
	for _, m := range f.members {
		u.bytes = append(u.bytes, m.bytes.Load())
	}
	return u
}

func processCPU() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// memoryInUse returns the memory of heap and stacks once it has stopped falling:
// a fleet that was stopped takes a while to go.
func memoryInUse() uint64 {
	var least uint64
	for range memoryLooks {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		used := m.HeapInuse + m.StackInuse
		if least != 0 && used > least-least/100 {
			return min(used, least)
		}
		least = used
		time.Sleep(memoryWait)
	}
	return least
}

// rates is what a fleet used over a time.
type rates struct {
	seconds, mean, busiest, calls, cpuPercent float64
}

func (u usage) since(start usage) rates {
	r := rates{seconds: u.at.Sub(start.at).Seconds()}
	for i := range u.bytes {
		perSecond := float64(u.bytes[i]-start.bytes[i]) / r.seconds
		r.mean += perSecond / float64(len(u.bytes))
		r.busiest = max(r.busiest, perSecond)
	}
	r.calls = float64(u.calls-start.calls) / r.seconds
	r.cpuPercent = 100 * (u.cpu - start.cpu).Seconds() / r.seconds / float64(len(u.bytes))
	return r
}

func measureFleet(ctx context.Context, plan ConvergencePlan, mode string, n int, window time.Duration) (*ConvergenceRow, error) {
	before := memoryInUse()
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
	quiet := f.usage()
	accepted, err := f.change(ctx, plan)
	if err != nil {
		return nil, err
	}
	end := f.usage()
	row := &ConvergenceRow{Mode: mode, Daemons: n, CoalesceMS: window.Milliseconds(), Targets: plan.Targets}
	row.MemoryMB = float64(int64(memoryInUse())-int64(before)) / (1 << 20) / float64(n)
	row.fill(quiet.since(start), end.since(quiet), plan.Changes)
	row.times(f.delays(accepted))
	return row, nil
}

func (r *ConvergenceRow) fill(idle, busy rates, changes int) {
	perChange := busy.seconds / float64(changes)
	r.IdleBytes, r.IdleBytesBusiest = idle.mean, idle.busiest
	r.BytesPerChange = (busy.mean - idle.mean) * perChange
	r.BytesPerChangeBusiest = (busy.busiest - idle.busiest) * perChange
	r.IdleStoreCalls = idle.calls
	r.StoreCallsPerChange = (busy.calls - idle.calls) * perChange
	r.IdleCPUPercent, r.CPUPercent = idle.cpuPercent, busy.cpuPercent
}

func (r *ConvergenceRow) times(delays []time.Duration) {
	if len(delays) == 0 {
		return
	}
	slices.Sort(delays)
	at := func(share float64) float64 {
		return float64(delays[int(share*float64(len(delays)-1))].Microseconds()) / 1000
	}
	r.P50MS, r.P99MS, r.MaxMS = at(0.5), at(0.99), at(1)
}

// change runs the scripted change log, and returns the time of each acceptance
// once the last version is in force everywhere.
func (f *spreadFleet) change(ctx context.Context, plan ConvergencePlan) (map[versioner.Version]time.Time, error) {
	rng := rand.New(rand.NewPCG(plan.Seed, 0))
	accepted := make(map[versioner.Version]time.Time)
	var last versioner.Version
	for i := range plan.Changes {
		if rng.Float64() >= burstShare {
			gap := time.Duration(rng.ExpFloat64() * float64(changeGap))
			if err := sleeper.Sleep(ctx, min(gap, 4*changeGap)); err != nil {
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
	return accepted, f.await(ctx, func() bool { return f.lowest() >= last })
}

// delays returns the time of each change on each daemon. A change that a later
// one overtook counts by that one.
func (f *spreadFleet) delays(accepted map[versioner.Version]time.Time) []time.Duration {
	var delays []time.Duration
	for _, m := range f.members {
		applied := m.Applier.History()
		for v, at := range accepted {
			i := slices.IndexFunc(applied, func(a applierRecord) bool { return a.Version >= v })
			if i >= 0 {
				delays = append(delays, max(0, applied[i].At.Sub(at)))
			}
		}
	}
	return delays
}

func (f *spreadFleet) accept(ctx context.Context, entries ...versioner.Entry) (versioner.Version, error) {
	f.changes++
	return f.acceptor.Accept(ctx, acceptor.Change{
		Audit:   versioner.Audit{ChangeID: fmt.Sprint("change-", f.changes), Author: "measurer", Partner: ownerPartner, Reason: "measurement"},
		Upserts: entries,
	})
}
