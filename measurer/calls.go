// Package measurer measures the system in one process over real sockets.
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
	scanBytes      = 2 << 20
	scansPerSecond = 4
	warmUp         = 500 * time.Millisecond
	// latencyTargets is the number of targets among which calls are spread.
	latencyTargets = 3
	latencySlots   = 12
)

// CallsPlan says what to measure of the path of calls.
type CallsPlan struct {
	Rates            []int
	Duration         time.Duration
	Classes          []string
	Size             int
	ChangesPerSecond float64
	Scans            bool
	Seed             uint64
	// Runs lists the parts to measure: RunLatency, RunOverload, RunSlowTarget.
	Runs []string
}

// The parts of a measurement of calls.
const (
	RunLatency    = "latency"
	RunOverload   = "overload"
	RunSlowTarget = "slow-target"
)

// Machine is where figures were taken.
type Machine struct {
	CPUs        int    `json:"cpus"`
	GoMaxProcs  int    `json:"gomaxprocs"`
	GoVersion   string `json:"go-version"`
	System      string `json:"system"`
	LoadAverage string `json:"load-average"`
}

// CallsReport holds the figures of one run.
type CallsReport struct {
	Seed       uint64        `json:"seed"`
	Machine    Machine       `json:"machine"`
	Latency    []LatencyRow  `json:"latency,omitempty"`
	Overload   []OverloadRow `json:"overload,omitempty"`
	SlowTarget []SlowRow     `json:"slow-target,omitempty"`
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50-us"`
	P99  int64 `json:"p99-us"`
	P999 int64 `json:"p99.9-us"`
}

func quantiles(t *loadgenerator.Tally) Quantiles {
	return Quantiles{
		P50: t.Quantile(50).Microseconds(), P99: t.Quantile(99).Microseconds(), P999: t.Quantile(99.9).Microseconds(),
	}
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - other.P50, P99: q.P99 - other.P99, P999: q.P999 - other.P999}
}

// LatencyRow compares calls through the path with direct ones of the same run.
type LatencyRow struct {
	// Rate is in calls a second through the path; as many go directly.
	Rate  int    `json:"rate"`
	Class string `json:"class"`
	// Path is "link" for calls that cross a link between daemons, and "local"
	// for calls that enter at the daemon of their target.
	Path    string    `json:"path"`
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// Added is the difference of the quantiles.
	Added Quantiles `json:"added"`
	// Answered counts calls through the path, NotAnswered the rest of both kinds.
	Answered    int   `json:"answered"`
	NotAnswered int   `json:"not-answered"`
	Changes     int64 `json:"changes"`
	Scans       int   `json:"scans"`
	ScansLost   int   `json:"scans-not-answered"`
}

// check says what is wrong with the plan before anything is measured.
func (p CallsPlan) check() error {
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

// MeasureCalls runs the parts of the plan one after the other.
func MeasureCalls(ctx context.Context, p CallsPlan) (*CallsReport, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	report := &CallsReport{Seed: p.Seed, Machine: thisMachine()}
	for _, run := range p.Runs {
		var err error
		switch run {
		case RunLatency:
			report.Latency, err = p.latency(ctx)
		case RunOverload:
			report.Overload, err = p.overload(ctx)
		case RunSlowTarget:
			report.SlowTarget, err = p.slowTarget(ctx)
		}
		if err != nil {
			return nil, err
		}
	}
	return report, nil
}

func thisMachine() Machine {
	load, _ := os.ReadFile("/proc/loadavg")
	return Machine{
		CPUs: runtime.NumCPU(), GoMaxProcs: runtime.GOMAXPROCS(0), GoVersion: runtime.Version(),
		System: runtime.GOOS + "/" + runtime.GOARCH, LoadAverage: strings.TrimSpace(string(load)),
	}
}

func (p CallsPlan) latency(ctx context.Context) ([]LatencyRow, error) {
	f, err := newCallFleet(ctx, fleetPlan{targets: latencyTargets, slots: latencySlots, size: p.Size})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	var rows []LatencyRow
	for _, rate := range p.Rates {
		for _, class := range p.Classes {
			rows = append(rows, p.compare(ctx, f, rate, class, "/"+class, "link"))
		}
		rows = append(rows, p.compare(ctx, f, rate, versioner.ClassLookup, "/local/lookup", "local"))
	}
	return rows, nil
}

// compare runs direct calls and calls through the path beside each other, each
// at a random time of its interval.
func (p CallsPlan) compare(ctx context.Context, f *callFleet, rate int, class, path, name string) LatencyRow {
	method, body := callOf(class, p.Size)
	direct := f.nodes[1:]
	if name == "local" {
		direct = f.nodes[:1]
	}
	streams := []loadgenerator.Stream{
		{Name: "direct", Rate: float64(rate), Jitter: p.random(1), Call: func(ctx context.Context, n int) loadgenerator.Result {
			return f.call(ctx, method, "http://"+direct[n%len(direct)].address+path, body, p.Size)
		}},
		{Name: "through", Rate: float64(rate), Jitter: p.random(2), Call: func(ctx context.Context, _ int) loadgenerator.Result {
			return f.call(ctx, method, f.entryURL(path), body, p.Size)
		}},
	}
	loadgenerator.Run(ctx, warmUp, streams...)
	if p.Scans {
		streams = append(streams, f.scans(p.Size))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := f.changes.Load()
	go f.keepChanging(ctx, p.ChangesPerSecond)
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
		row.ScansLost = tallies[2].Refused + tallies[2].Failed
	}
	return row
}

// random returns the generator of one stream.
func (p CallsPlan) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

// callOf returns the method and body of a call of the class.
func callOf(class string, size int) (string, []byte) {
	if class == versioner.ClassPosting || class == versioner.ClassScan {
		return http.MethodPost, make([]byte, size)
	}
	return http.MethodGet, nil
}

// scans is a stream of large bodies beside the measured calls.
func (f *callFleet) scans(size int) loadgenerator.Stream {
	body := make([]byte, scanBytes)
	return loadgenerator.Stream{Name: "scans", Rate: scansPerSecond, Call: func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodPost, f.entryURL("/"+versioner.ClassScan), body, size)
	}}
}
