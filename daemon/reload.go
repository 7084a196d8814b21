package daemon

import (
	"math"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/quoter"
	"bambooweir.example/bambooweir/retrier"
)

// goMemoryFraction is the fraction of the memory-mb setting that becomes the Go
// runtime's soft memory limit. The rest is for memory that this limit does not
// cover: kernel buffers and the program's own code and data.
const goMemoryFraction = 0.7

// reloadableSettings holds the settings that Reload applies. Changes of all other
// settings need a restart.
var reloadableSettings = map[string]bool{
	"log-level": true, "target-service": true, "memory-mb": true,
	"retry-budget-ratio": true, "retry-budget-window-s": true, "retry-budget-allowance": true,
	"quota-window-s": true, "quota-over-ratio": true, "quota-slack": true,
}

// Reload applies the changed settings that can change while the daemon runs, and
// logs which were applied and which need a restart.
func (d *Daemon) Reload(next *loader.Daemon) {
	old := d.cfg.Load()
	merged := *old
	var applied, kept []string
	for _, key := range loader.Changed(old, next) {
		if reloadableSettings[key] {
			loader.Copy(&merged, next, key)
			applied = append(applied, key)
			continue
		}
		kept = append(kept, key)
	}
	d.cfg.Store(&merged)
	d.applySettings(&merged)
	d.log.Info("settings-reloaded", zap.Strings("applied", applied), zap.Strings("need-restart", kept))
}

// applySettings passes on the settings that the Go runtime, the retrier and the quoter do
// not read from cfg themselves.
func (d *Daemon) applySettings(cfg *loader.Daemon) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(math.Round(cfg.MemoryMB * goMemoryFraction * (1 << 20))))
	}
	d.forwarder.Retrier.SetSharedBudget(retrier.SharedBudget{
		Ratio:     cfg.RetryBudgetRatio,
		Window:    time.Duration(cfg.RetryBudgetWindowS * float64(time.Second)),
		Allowance: cfg.RetryBudgetAllowance,
	})
	d.quoter.SetBounds(quoter.Bounds{
		Window:    time.Duration(cfg.QuotaWindowS * float64(time.Second)),
		OverRatio: cfg.QuotaOverRatio,
		Slack:     cfg.QuotaSlack,
	})
}

// fleetSize returns the number of daemons that are not gone, including this one. A daemon that
// has just started counts those that it has yet to meet.
func (d *Daemon) fleetSize() int {
	strangers, _ := d.spreader.Strangers()
	return max(d.table.LiveCount()+strangers, 1)
}
