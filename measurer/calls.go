// Package measurer implements the "measure" commands: it runs fleets of daemons
// in one process over real sockets, and measures calls, the convergence of
// configuration changes, and the costs from which package projector extrapolates.
package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"bambooweir.example/bambooweir/loadgenerator"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// scanBytes is the body length of the calls in the stream of scans, and
	// scansPerSecond is its rate.
	scanBytes      = 2 << 20
	scansPerSecond = 4
	// warmUp is how long calls run before each measurement.
	warmUp = 500 * time.Millisecond
	// latencyTargets is the number of targets among which calls are balanced;
	// latencySlots is the number of slots of each.
	latencyTargets = 3
	latencySlots   = 12
)

// CallsPlan configures a measurement of calls.
type CallsPlan struct {
	// Rates lists the rates to measure, in calls a second.
	Rates []int
	// Duration is the length of each measurement.
	Duration time.Duration
	Classes  []string
	// Size is the length in bytes of responses, and of the bodies of calls whose
	// class has one.
	Size int
	// ChangesPerSecond is the rate of configuration changes during the calls; 0
	// means none.
	ChangesPerSecond float64
	// Scans adds a stream of calls with large bodies.
	Scans bool
	// Seed determines the times of the calls.
	Seed uint64
	// Runs lists the parts to measure: RunLatency, RunOverload, RunSlowTarget.
	Runs []string
}

// The parts of a measurement of calls.
const (
	RunLatency    = "latency"
	RunOverload   = "overload"
	RunSlowTarget = "slow-target"
)

// Machine describes the machine that ran a measurement.
type Machine struct {
	CPUs        int    `json:"cpus"`
	GoMaxProcs  int    `json:"gomaxprocs"`
	GoVersion   string `json:"go-version"`
	System      string `json:"system"`
	LoadAverage string `json:"load-average"`
}

// CallsReport holds the results of one MeasureCalls.
type CallsReport struct {
	Seed       uint64          `json:"seed"`
	Machine    Machine         `json:"machine"`
	Latency    []LatencyRow    `json:"latency,omitempty"`
	Overload   []OverloadRow   `json:"overload,omitempty"`
	SlowTarget []SlowTargetRow `json:"slow-target,omitempty"`
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50-us"`
	P99  int64 `json:"p99-us"`
	P999 int64 `json:"p99.9-us"`
}

// quantiles returns the latencies of the answered calls.
func quantiles(t *loadgenerator.Tally) Quantiles {
	return Quantiles{
		P50: t.Quantile(50).Microseconds(), P99: t.Quantile(99).Microseconds(), P999: t.Quantile(99.9).Microseconds(),
	}
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P99: q.P99 - other.P99, P999: q.P999 - other.P999}
}

// LatencyRow compares calls through the daemons with calls made directly to the
// targets in the same run.
type LatencyRow struct {
	// Rate is the rate of calls through the daemons, in calls a second; direct
	// calls are made at the same rate.
	Rate  int    `json:"rate"`
	Class string `json:"class"`
	// Path is "link" for calls that cross a link between two daemons, and
	// "local" for calls that enter at the daemon of their target.
	Path    string    `json:"path"`
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// Added is the differences between the quantiles of Through and Direct.
	Added Quantiles `json:"added"`
	// Answered counts the answered calls through the daemons. NotAnswered counts
	// the calls, direct and through the daemons, that were refused, failed or
	// skipped.
	Answered         int   `json:"answered"`
	NotAnswered      int   `json:"not-answered"`
	Changes          int64 `json:"changes"`
	Scans            int   `json:"scans"`
	ScansNotAnswered int   `json:"scans-not-answered"`
}

// validate returns an error if the plan is invalid.
func (p CallsPlan) validate() error {
	for _, run := range p.Runs {
		if !slices.Contains([]string{RunLatency, RunOverload, RunSlowTarget}, run) {
			return fmt.Errorf("runs: want latency, overload or slow-target, got %q", run)
		}
	}
	for _, class := range p.Classes {
		if !slices.Contains(callClasses, class) {
			return fmt.Errorf("class: want one of %s, got %q", strings.Join(callClasses, ", "), class)
		}
	}
	for _, rate := range p.Rates {
		if rate <= 0 {
			return fmt.Errorf("rate: want calls a second above 0, got %d", rate)
		}
	}
	if p.Duration <= 0 || p.Size < 0 || p.ChangesPerSecond < 0 {
		return fmt.Errorf("want a duration above 0, and no negative size or changes; got %v, %d and %v", p.Duration, p.Size, p.ChangesPerSecond)
	}
	return nil
}

// MeasureCalls runs the parts that the plan lists in Runs, one after the other.
func MeasureCalls(ctx context.Context, p CallsPlan) (*CallsReport, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	report := &CallsReport{Seed: p.Seed, Machine: currentMachine()}
	for _, run := range p.Runs {
		var err error
		switch run {
		case RunLatency:
			report.Latency, err = p.measureLatency(ctx)
		case RunOverload:
			report.Overload, err = p.measureOverload(ctx)
		case RunSlowTarget:
			report.SlowTarget, err = p.measureSlowTarget(ctx)
		}
		if err != nil {
			return nil, err
		}
	}
	return report, nil
}

// currentMachine describes the machine that runs this process.
func currentMachine() Machine {
	load, _ := os.ReadFile("/proc/loadavg")
	return Machine{
		CPUs: runtime.NumCPU(), GoMaxProcs: runtime.GOMAXPROCS(0), GoVersion: runtime.Version(),
		System: runtime.GOOS + "/" + runtime.GOARCH, LoadAverage: strings.TrimSpace(string(load)),
	}
}

// measureLatency returns a row for each rate and class over a link, and one for
// each rate of local lookups.
func (p CallsPlan) measureLatency(ctx context.Context) ([]LatencyRow, error) {
	f, err := newCallFleet(ctx, fleetPlan{targets: latencyTargets, slots: latencySlots, bodyBytes: p.Size})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	var rows []LatencyRow
	for _, rate := range p.Rates {
		for _, class := range p.Classes {
			rows = append(rows, p.compareWithDirect(ctx, f, rate, class, "/"+class, "link"))
		}
		rows = append(rows, p.compareWithDirect(ctx, f, rate, versioner.ClassLookup, "/local/lookup", "local"))
	}
	return rows, nil
}

// compareWithDirect runs direct calls and calls through the daemons at the same
// time, each call at a random time within its interval.
func (p CallsPlan) compareWithDirect(ctx context.Context, f *callFleet, rate int, class, path, name string) LatencyRow {
	method, body := methodAndBody(class, p.Size)
	direct := f.nodes[1:]
	if name == "local" {
		direct = f.nodes[:1]
	}
	streams := []loadgenerator.Stream{
		{Name: "direct", Rate: float64(rate), Jitter: p.newRand(1), Call: func(ctx context.Context, n int) loadgenerator.Result {
			return f.call(ctx, method, "http://"+direct[n%len(direct)].address+path, body, p.Size)
		}},
		{Name: "through", Rate: float64(rate), Jitter: p.newRand(2), Call: func(ctx context.Context, _ int) loadgenerator.Result {
			return f.call(ctx, method, f.entryURL(path), body, p.Size)
		}},
	}
	loadgenerator.Run(ctx, warmUp, streams...)
	if p.Scans {
		streams = append(streams, f.scanStream(p.Size))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := f.changes.Load()
	go f.acceptPeriodically(ctx, p.ChangesPerSecond)
	tallies := loadgenerator.Run(ctx, p.Duration, streams...)
	row := LatencyRow{
		Rate: rate, Class: class, Path: name, Direct: quantiles(tallies[0]), Through: quantiles(tallies[1]),
		Answered: tallies[1].Answered, Changes: f.changes.Load() - before,
	}
	row.Added = row.Through.minus(row.Direct)
	for _, t := range tallies[:2] {
		row.NotAnswered += t.Refused + t.Failed + t.Skipped
	}
	if p.Scans {
		row.Scans = tallies[2].Answered
		row.ScansNotAnswered = tallies[2].Refused + tallies[2].Failed
	}
	return row
}

// newRand returns the random number generator of one stream.
func (p CallsPlan) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

// methodAndBody returns the HTTP method and body of a call of the class.
func methodAndBody(class string, size int) (string, []byte) {
	if class == versioner.ClassPosting || class == versioner.ClassScan {
		return http.MethodPost, make([]byte, size)
	}
	return http.MethodGet, nil
}

// scanStream returns a stream of calls with large bodies, which run beside the
// measured calls.
func (f *callFleet) scanStream(size int) loadgenerator.Stream {
	body := make([]byte, scanBytes)
	return loadgenerator.Stream{Name: "scans", Rate: scansPerSecond, Call: func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodPost, f.entryURL("/"+versioner.ClassScan), body, size)
	}}
}
