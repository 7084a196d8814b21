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
	slowRate    = 200
	fastTakes   = 5 * time.Millisecond
	slowTakes   = 100 * time.Millisecond
	slowHedgeMS = 20
)

// SlowRow is how lookups fare while one of five targets is slow.
type SlowRow struct {
	// Variant says how targets are chosen and whether lookups are hedged.
	Variant string    `json:"variant"`
	Latency Quantiles `json:"latency"`
	// SlowShare is the part of the runs that the slow target had, in percent.
	SlowShare float64 `json:"slow-share-percent"`
	// Runs counts runs at targets in percent of the calls; hedging adds some.
	Runs        float64 `json:"runs-percent"`
	NotAnswered int     `json:"not-answered"`
}

func (p CallsPlan) slowTarget(ctx context.Context) ([]SlowRow, error) {
	var rows []SlowRow
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
		row, err := p.slowRow(ctx, v.choices, v.hedgeMS)
		if err != nil {
			return nil, err
		}
		row.Variant = v.name
		rows = append(rows, row)
	}
	return rows, nil
}

func (p CallsPlan) slowRow(ctx context.Context, choices, hedgeMS int) (SlowRow, error) {
	f, err := newCallFleet(ctx, fleetPlan{
		targets: slowTargets, slots: latencySlots, size: p.Size, takes: fastTakes, tuning: daemon.Tuning{Choices: choices},
		edit: func(entries []versioner.Entry) []versioner.Entry { return append(entries, lookupClass(2000, hedgeMS)) },
	})
	if err != nil {
		return SlowRow{}, err
	}
	defer f.stop()
	lookups := loadgenerator.Stream{Name: "lookups", Rate: slowRate, Jitter: p.random(1), Call: func(ctx context.Context, _ int) loadgenerator.Result {
		return f.call(ctx, http.MethodGet, f.entryURL("/"+versioner.ClassLookup), nil, p.Size)
	}}
	loadgenerator.Run(ctx, warmUp, lookups)
	slow := f.nodes[1].target
	slow.takes.Store(int64(slowTakes))
	slowBefore, allBefore := slow.runs.Load(), f.runs()
	t := loadgenerator.Run(ctx, p.Duration, lookups)[0]
	slowRuns, allRuns := slow.runs.Load()-slowBefore, f.runs()-allBefore
	return SlowRow{
		Latency: quantiles(t), SlowShare: 100 * float64(slowRuns) / float64(max(1, allRuns)),
		Runs: 100 * float64(allRuns) / float64(max(1, t.Sent)), NotAnswered: t.Refused + t.Failed + t.Skipped,
	}, nil
}

// runs counts the calls that the targets of the measured service ran.
func (f *callFleet) runs() int64 {
	var n int64
	for _, node := range f.nodes[1:] {
		n += node.target.runs.Load()
	}
	return n
}
