package measurer

import (
	"context"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/daemon"
	"bambooweir.example/bambooweir/loadgenerator"
	"bambooweir.example/bambooweir/versioner"
)

const (
	overloadTargets = 5
	overloadSlots   = 12
	overloadTakes   = 40 * time.Millisecond
	// overloadTimeoutMS bounds the calls that wait where no limiter refuses them.
	overloadTimeoutMS = 1000
	// overloadFactor is the offered load in terms of the targets' capacity.
	overloadFactor = 2.0
	// readsPart and modestPart are the offered internal reads and lookups of the
	// partner within its share, in terms of the capacity.
	readsPart  = 0.1
	modestPart = 0.3
)

// OverloadRow is what became of one stream of calls under overload.
type OverloadRow struct {
	// Variant is "calm" for internal reads alone, "limited" for the overload with
	// the limiter, and "unlimited" without it.
	Variant string `json:"variant"`
	Stream  string `json:"stream"`
	// Offered, Answered and Refused are in percent of the targets' capacity; what
	// was answered is divided by the time until the last answer.
	Offered  float64 `json:"offered-percent"`
	Answered float64 `json:"answered-percent"`
	Refused  float64 `json:"refused-percent"`
	// Failed counts calls that were neither answered nor refused as not run.
	Failed  int       `json:"failed"`
	Latency Quantiles `json:"latency"`
}

func (p CallsPlan) overload(ctx context.Context) ([]OverloadRow, error) {
	var rows []OverloadRow
	for _, v := range []struct {
		name   string
		tuning daemon.Tuning
	}{
		{"limited", daemon.Tuning{}},
		{"unlimited", daemon.Tuning{NoLimiter: true}},
	} {
		f, err := newCallFleet(ctx, fleetPlan{
			targets: overloadTargets, slots: overloadSlots, size: p.Size, takes: overloadTakes, tuning: v.tuning,
			edit: func(entries []versioner.Entry) []versioner.Entry {
				return append(entries, lookupClass(overloadTimeoutMS, 0))
			},
		})
		if err != nil {
			return nil, err
		}
		if v.name == "limited" {
			rows = append(rows, p.overloadRows(ctx, "calm", p.lookups(f, "internal-reads", "/"+versioner.ClassInternalRead, readsPart))...)
		}
		rows = append(rows, p.overloadRows(ctx, v.name,
			p.lookups(f, "internal-reads", "/"+versioner.ClassInternalRead, readsPart),
			p.lookups(f, "within-share", "/"+versioner.ClassLookup, modestPart),
			p.lookups(f, "flood", "/guest/lookup", overloadFactor-readsPart-modestPart),
		)...)
		f.stop()
	}
	return rows, nil
}

// capacity is what the targets can run, in calls a second.
func capacity() float64 {
	return overloadTargets * overloadSlots / overloadTakes.Seconds()
}

func (p CallsPlan) lookups(f *callFleet, name, path string, part float64) loadgenerator.Stream {
	call := func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodGet, f.entryURL(path), nil, p.Size)
	}
	return loadgenerator.Stream{Name: name, Rate: part * capacity(), Jitter: p.random(uint64(len(name))), Call: call}
}

func (p CallsPlan) overloadRows(ctx context.Context, variant string, streams ...loadgenerator.Stream) []OverloadRow {
	loadgenerator.Run(ctx, warmUp, streams...)
	start := time.Now()
	tallies := loadgenerator.Run(ctx, p.Duration, streams...)
	whole := capacity() * time.Since(start).Seconds() / 100
	offered := capacity() * p.Duration.Seconds() / 100
	var rows []OverloadRow
	total := OverloadRow{Variant: variant, Stream: "all"}
	for _, t := range tallies {
		row := OverloadRow{
			Variant: variant, Stream: t.Name, Offered: float64(t.Sent+t.Skipped) / offered,
			Answered: float64(t.Answered) / whole, Refused: float64(t.Refused) / offered,
			Failed: t.Failed + t.Skipped, Latency: quantiles(t),
		}
		rows = append(rows, row)
		total.Offered += row.Offered
		total.Answered += row.Answered
		total.Refused += row.Refused
		total.Failed += row.Failed
	}
	return append(rows, total)
}
