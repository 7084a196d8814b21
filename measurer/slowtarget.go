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
	slowTargets = 5
	// slowRate is in calls a second.
	slowRate = 200
	// fastServiceTime is the time that a target takes for a call; the slow target
	// takes slowServiceTime. slowHedgeMS is the hedging delay of the hedged
	// variants.
	fastServiceTime = 5 * time.Millisecond
	slowServiceTime = 100 * time.Millisecond
	slowHedgeMS     = 20
)

// SlowTargetRow holds the results of lookups while one of five targets is slow.
type SlowTargetRow struct {
	// Variant names the way of choosing targets, and tells whether lookups are
	// hedged.
	Variant string    `json:"variant"`
	Latency Quantiles `json:"latency"`
	// SlowShare is the share of the runs at targets that the slow target had, in
	// percent.
	SlowShare float64 `json:"slow-share-percent"`
	// Runs is the number of runs at targets in percent of the calls; it exceeds
	// 100 when lookups are hedged.
	Runs float64 `json:"runs-percent"`
	// NotAnswered counts the calls that were refused, failed or skipped.
	NotAnswered int `json:"not-answered"`
}

// measureSlowTarget measures lookups beside a slow target, with targets chosen at
// random or by comparison, and with and without hedging.
func (p CallsPlan) measureSlowTarget(ctx context.Context) ([]SlowTargetRow, error) {
	var rows []SlowTargetRow
	for _, v := range []struct {
		name    string
		choices int
		hedgeMS int
	}{
		{"random", 1, 0},
		{"random, hedged", 1, slowHedgeMS},
		{"best of two", 2, 0},
		{"best of two, hedged", 2, slowHedgeMS},
		{"best of three", 3, 0},
	} {
		row, err := p.measureSlowVariant(ctx, v.choices, v.hedgeMS)
		if err != nil {
			return nil, err
		}
		row.Variant = v.name
		rows = append(rows, row)
	}
	return rows, nil
}

// measureSlowVariant measures one variant. The target becomes slow only after the
// warm-up.
func (p CallsPlan) measureSlowVariant(ctx context.Context, choices, hedgeMS int) (SlowTargetRow, error) {
	f, err := newCallFleet(ctx, fleetPlan{
		targets: slowTargets, slots: latencySlots, bodyBytes: p.Size, serviceTime: fastServiceTime, tuning: daemon.Tuning{Choices: choices},
		edit: func(entries []versioner.Entry) []versioner.Entry { return append(entries, lookupClass(2000, hedgeMS)) },
	})
	if err != nil {
		return SlowTargetRow{}, err
	}
	defer f.stop()
	lookups := loadgenerator.Stream{Name: "lookups", Rate: slowRate, Jitter: p.newRand(1), Call: func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodGet, f.entryURL("/"+versioner.ClassLookup), nil, p.Size)
	}}
	loadgenerator.Run(ctx, warmUp, lookups)
	slow := f.nodes[1].target
	slow.serviceTime.Store(int64(slowServiceTime))
	slowBefore, allBefore := slow.runs.Load(), f.targetRuns()
	t := loadgenerator.Run(ctx, p.Duration, lookups)[0]
	slowRuns, allRuns := slow.runs.Load()-slowBefore, f.targetRuns()-allBefore
	return SlowTargetRow{
		Latency: quantiles(t), SlowShare: 100 * float64(slowRuns) / float64(max(1, allRuns)),
		Runs: 100 * float64(allRuns) / float64(max(1, t.Sent)), NotAnswered: t.Refused + t.Failed + t.Skipped,
	}, nil
}

// targetRuns returns the number of calls that the targets of targetService ran.
func (f *callFleet) targetRuns() int64 {
	var n int64
	for _, node := range f.nodes[1:] {
		n += node.target.runs.Load()
	}
	return n
}
