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
	// overloadTargets is the number of targets. Each runs overloadSlots calls at a
	// time, and each call takes overloadServiceTime: 1500 calls a second in all.
	overloadTargets     = 5
	overloadSlots       = 12
	overloadServiceTime = 40 * time.Millisecond
	// overloadTimeoutMS bounds how long a call waits when no limiter refuses it.
	overloadTimeoutMS = 1000
	// overloadFactor is the offered load as a fraction of the targets' capacity.
	overloadFactor = 2.0
	// internalReadFraction is the offered load of internal reads, and
	// withinShareFraction that of the lookups of the partner that stays within
	// its share, both as fractions of the capacity.
	internalReadFraction = 0.1
	withinShareFraction  = 0.3
)

// OverloadRow holds the results of one stream of calls under overload.
type OverloadRow struct {
	// Variant is "calm" for internal reads alone, "limited" for the overload with
	// the limiter, and "unlimited" for the overload without it.
	Variant string `json:"variant"`
	// Stream is the stream's name, or "all" for the sum of the streams.
	Stream string `json:"stream"`
	// Offered, Answered and Refused are in percent of the targets' capacity.
	// Offered and Refused are rates over the duration of the plan; Answered is a
	// rate over the time until the last call ended, which is longer.
	Offered  float64 `json:"offered-percent"`
	Answered float64 `json:"answered-percent"`
	Refused  float64 `json:"refused-percent"`
	// Failed counts the calls that were neither answered nor refused as not run,
	// skipped calls included.
	Failed  int       `json:"failed"`
	Latency Quantiles `json:"latency"`
}

// measureOverload offers twice the targets' capacity, with the limiter and
// without it. Most of the load is lookups of a partner that exceeds its share.
func (p CallsPlan) measureOverload(ctx context.Context) ([]OverloadRow, error) {
	var rows []OverloadRow
	for _, v := range []struct {
		name   string
		tuning daemon.Tuning
	}{
		{"limited", daemon.Tuning{}},
		{"unlimited", daemon.Tuning{NoLimiter: true}},
	} {
		f, err := newCallFleet(ctx, fleetPlan{
			targets: overloadTargets, slots: overloadSlots, bodyBytes: p.Size, serviceTime: overloadServiceTime, tuning: v.tuning,
			edit: func(entries []versioner.Entry) []versioner.Entry {
				return append(entries, lookupClass(overloadTimeoutMS, 0))
			},
		})
		if err != nil {
			return nil, err
		}
		if v.name == "limited" {
			rows = append(rows, p.runOverload(ctx, "calm", p.readStream(f, "internal-reads", "/"+versioner.ClassInternalRead, internalReadFraction))...)
		}
		rows = append(rows, p.runOverload(ctx, v.name,
			p.readStream(f, "internal-reads", "/"+versioner.ClassInternalRead, internalReadFraction),
			p.readStream(f, "within-share", "/"+versioner.ClassLookup, withinShareFraction),
			p.readStream(f, "flood", "/guest/lookup", overloadFactor-internalReadFraction-withinShareFraction),
		)...)
		f.stop()
	}
	return rows, nil
}

// overloadCapacity returns the rate of calls that the targets can run, in calls a
// second.
func overloadCapacity() float64 {
	return overloadTargets * overloadSlots / overloadServiceTime.Seconds()
}

// readStream returns a stream of GET calls whose rate is a fraction of the
// targets' capacity. The length of the name selects the stream's random numbers;
// the names of a run differ in length.
func (p CallsPlan) readStream(f *callFleet, name, path string, fraction float64) loadgenerator.Stream {
	call := func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodGet, f.entryURL(path), nil, p.Size)
	}
	return loadgenerator.Stream{Name: name, Rate: fraction * overloadCapacity(), Jitter: p.newRand(uint64(len(name))), Call: call}
}

// runOverload runs the streams concurrently and returns a row for each and one for
// their sum.
func (p CallsPlan) runOverload(ctx context.Context, variant string, streams ...loadgenerator.Stream) []OverloadRow {
	loadgenerator.Run(ctx, warmUp, streams...)
	start := time.Now()
	tallies := loadgenerator.Run(ctx, p.Duration, streams...)
	// Both are 1 % of the capacity, in calls: over the time until the last call
	// ended, and over the time in which calls were sent.
	elapsedPercent := overloadCapacity() * time.Since(start).Seconds() / 100
	sendingPercent := overloadCapacity() * p.Duration.Seconds() / 100
	var rows []OverloadRow
	total := OverloadRow{Variant: variant, Stream: "all"}
	for _, t := range tallies {
		row := OverloadRow{
			Variant: variant, Stream: t.Name, Offered: float64(t.Sent+t.Skipped) / sendingPercent,
			Answered: float64(t.Answered) / elapsedPercent, Refused: float64(t.Refused) / sendingPercent,
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
