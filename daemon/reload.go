package daemon

import (
	"math"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/retrier"
)

// memoryShare is the part of the memory bound that the collector keeps the heap
// under: stacks, buffers of the kernel and the program itself need the rest.
const memoryShare = 0.7

// reloadable holds the settings that take effect without a restart. All others
// keep the value of the start.
var reloadable = map[string]bool{
	"log-level": true, "target-service": true, "memory-mb": true,
	"retry-budget-ratio": true, "retry-budget-window-s": true, "retry-budget-allowance": true,
}

// Reload puts changed settings into effect, as far as that is possible while
// the daemon runs, and says which are not.
func (d *Daemon) Reload(next *loader.Daemon) {
	old := d.cfg.Load()
	merged := *old
	var applied, kept []string
	for _, key := range loader.Changed(old, next) {
		if reloadable[key] {
			loader.Copy(&merged, next, key)
			applied = append(applied, key)
			continue
		}
		kept = append(kept, key)
	}
	d.cfg.Store(&merged)
	d.settle(&merged)
	d.log.Info("settings-reloaded", zap.Strings("applied", applied), zap.Strings("need-restart", kept))
}

// settle puts the settings into effect that parts do not read by themselves.
func (d *Daemon) settle(cfg *loader.Daemon) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(math.Round(cfg.MemoryMB * memoryShare * (1 << 20))))
	}
	d.forwarder.Retrier.SetSharedBudget(retrier.Share{
		Ratio:     cfg.RetryBudgetRatio,
		Window:    time.Duration(cfg.RetryBudgetWindowS * float64(time.Second)),
		Allowance: cfg.RetryBudgetAllowance,
	})
}

// daemons counts the daemons of the fleet, this one included.
func (d *Daemon) daemons() int {
	return max(d.table.LiveCount(), 1)
}
