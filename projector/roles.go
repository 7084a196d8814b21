package projector

// The names of the series that a projection needs, each with what is on its axes:
//
//	session-idle-bytes   sessions of one daemon       -> B/s, both directions
//	change-bytes         sessions of one daemon       -> B for each change
//	record-bytes         sessions of one daemon       -> B for each membership record
//	session-idle-cpu     sessions of all daemons      -> us/s, projected to those of one daemon
//	change-cpu           targets in the table         -> us for each change
//	record-cpu           targets in the table         -> us for each record
//	memory               targets in the table         -> MB resident
//	session-memory       sessions of one daemon       -> MB
//	convergence-p99      tree levels below the store  -> s
//	head-bytes           daemons                      -> B
//	store-idle-writes    relay leases                 -> 1/s
//	store-idle-reads     relay leases                 -> 1/s, a waiting watch counts as one
//	store-change-reads   relay leases                 -> reads for each change
//	store-change-writes  relay leases                 -> writes for each change
//	call-cpu             calls/s received from callers, and as many run -> us/s
//	added-p99            calls/s of one daemon        -> ms
//	full-transfer-bytes  targets in the table         -> B
const (
	SeriesSessionIdleBytes  = "session-idle-bytes"
	SeriesChangeBytes       = "change-bytes"
	SeriesRecordBytes       = "record-bytes"
	SeriesSessionIdleCPU    = "session-idle-cpu"
	SeriesChangeCPU         = "change-cpu"
	SeriesRecordCPU         = "record-cpu"
	SeriesMemory            = "memory"
	SeriesSessionMemory     = "session-memory"
	SeriesConvergence       = "convergence-p99"
	SeriesHeadBytes         = "head-bytes"
	SeriesStoreIdleWrites   = "store-idle-writes"
	SeriesStoreIdleReads    = "store-idle-reads"
	SeriesStoreChangeReads  = "store-change-reads"
	SeriesStoreChangeWrites = "store-change-writes"
	SeriesCallCPU           = "call-cpu"
	SeriesAddedP99          = "added-p99"
	SeriesFullTransferBytes = "full-transfer-bytes"
)

// microsecondsPerCorePercent is one percent of a core, in microseconds a second.
const microsecondsPerCorePercent = 10_000

// projection evaluates the lines at the values that follow from the size, and
// keeps the first error.
type projection struct {
	size    Size
	budgets Budgets
	lines   map[string]Line
	err     error
}

// Project returns the rows of every role. It fails with a *MissingSeriesError
// or a *TooFewPointsError.
func Project(size Size, budgets Budgets, series []Series) ([]Row, error) {
	p := &projection{size: size, budgets: budgets, lines: make(map[string]Line)}
	for _, s := range series {
		line, err := s.Fit()
		if err != nil {
			return nil, err
		}
		p.lines[s.Name] = line
	}
	var rows []Row
	rows = append(rows, p.controlRows("leaf", 1, "one session up the tree")...)
	rows = append(rows, p.controlRows("relay", size.FanOut+1, "bounded fan-out")...)
	rows = append(rows, p.topRelayRows()...)
	rows = append(rows, p.callRows()...)
	rows = append(rows, p.storeRows()...)
	rows = append(rows, p.fleetRows()...)
	return rows, p.err
}

// at returns the estimate of the named series at x. If the series is missing, it
// sets p.err and returns the zero Estimate.
func (p *projection) at(name string, x float64) Estimate {
	line, ok := p.lines[name]
	if !ok {
		if p.err == nil {
			p.err = &MissingSeriesError{Name: name}
		}
		return Estimate{}
	}
	return line.At(x)
}

// controlBytes returns the control bytes that a daemon with that many sessions
// sends and receives in a second.
func (p *projection) controlBytes(sessions float64) Estimate {
	return sumEstimates(
		p.at(SeriesSessionIdleBytes, sessions),
		p.at(SeriesChangeBytes, sessions).scale(p.size.ChangesPerSecond()),
		p.at(SeriesRecordBytes, sessions).scale(p.size.RecordsPerSecond()),
	)
}

// controlCPU returns the processor time, in percent of a core, that a daemon with
// that many sessions spends on control traffic.
func (p *projection) controlCPU(sessions float64) Estimate {
	targets := float64(p.size.Daemons)
	return sumEstimates(
		p.at(SeriesSessionIdleCPU, sessions),
		p.at(SeriesChangeCPU, targets).scale(p.size.ChangesPerSecond()),
		p.at(SeriesRecordCPU, targets).scale(p.size.RecordsPerSecond()),
	).scale(1.0 / microsecondsPerCorePercent)
}

// memory returns the resident memory of a daemon with that many sessions, in
// megabytes.
func (p *projection) memory(sessions float64) Estimate {
	return sumEstimates(p.at(SeriesMemory, float64(p.size.Daemons)), p.at(SeriesSessionMemory, sessions))
}

// controlRows returns the rows of a role whose daemons have that many sessions.
func (p *projection) controlRows(role string, sessions int, mechanism string) []Row {
	n := float64(sessions)
	return []Row{
		{
			Role: role, Quantity: "control bytes", Unit: "B/s", Estimate: p.controlBytes(n),
			Budget:    p.budgets.ControlBytesPerSecond,
			Formula:   "session-idle-bytes + changes/s x change-bytes + records/s x record-bytes, at the role's sessions",
			Mechanism: mechanism + ", deltas",
		},
		{
			Role: role, Quantity: "control processor time", Unit: "% of a core", Estimate: p.controlCPU(n),
			Budget:    p.budgets.ControlCorePercent,
			Formula:   "(session-idle-cpu + changes/s x change-cpu + records/s x record-cpu) / 10,000",
			Mechanism: "one snapshot built for each change",
		},
		{
			Role: role, Quantity: "memory", Unit: "MB", Estimate: p.memory(n),
			Budget:    p.budgets.MemoryMegabytes,
			Formula:   "memory + session-memory, at the role's sessions",
			Mechanism: "bounded rings and tables",
		},
	}
}

// topRelayRows returns the rows of a relay at the top of the tree. Its control
// bytes include a read of the store's head for each change.
func (p *projection) topRelayRows() []Row {
	sessions := p.size.FanOut + p.size.CrossLinks
	rows := p.controlRows("top relay", sessions, "bounded fan-out and cross links")
	headReads := p.at(SeriesHeadBytes, float64(p.size.Daemons)).scale(p.size.ChangesPerSecond())
	rows[0].Estimate = sumEstimates(rows[0].Estimate, headReads)
	rows[0].Formula += " + changes/s x head-bytes"
	return rows
}

// callRows returns the rows of the processor time and the latency that daemons add to
// calls.
func (p *projection) callRows() []Row {
	rate := p.size.CallsPerDaemon()
	return []Row{
		{
			Role: "entry and target's daemon", Quantity: "processor time of calls", Unit: "% of a core",
			Estimate:  p.at(SeriesCallCPU, rate).scale(1.0 / microsecondsPerCorePercent),
			Formula:   "call-cpu at the mean rate of one daemon, which enters as many calls as it runs / 10,000",
			Mechanism: "links kept open, bounded table of recent calls",
		},
		{
			Role: "entry daemon", Quantity: "added time, 99 in 100", Unit: "ms",
			Estimate: p.at(SeriesAddedP99, rate), Budget: p.budgets.AddedMilliseconds,
			Formula: "added-p99 at the mean rate of one daemon", Mechanism: "one link crossed, no lock held over a write",
		},
	}
}

// storeRows returns the rows of the load on the store.
func (p *projection) storeRows() []Row {
	leases := float64(p.size.FailureDomains * p.size.RelaySlots)
	writes := sumEstimates(p.at(SeriesStoreIdleWrites, leases), p.at(SeriesStoreChangeWrites, leases).scale(p.size.ChangesPerSecond()))
	reads := sumEstimates(p.at(SeriesStoreIdleReads, leases), p.at(SeriesStoreChangeReads, leases).scale(p.size.ChangesPerSecond()))
	return []Row{
		{
			Role: "store", Quantity: "writes", Unit: "1/s", Estimate: writes, Budget: p.budgets.StoreWritesPerSecond,
			Formula: "store-idle-writes + changes/s x store-change-writes, at all relay leases", Mechanism: "leases for each failure domain only",
		},
		{
			Role: "store", Quantity: "reads and waiting watches", Unit: "1/s", Estimate: reads, Budget: p.budgets.StoreReadsPerSecond,
			Formula: "store-idle-reads + changes/s x store-change-reads, at all relay leases", Mechanism: "watches for each failure domain only",
		},
	}
}

// fleetRows returns the rows of the convergence time, and of the bytes that a relay
// transfers when all of its children reconnect without any state.
func (p *projection) fleetRows() []Row {
	levels := float64(p.size.Depth() + 1)
	transfer := p.at(SeriesFullTransferBytes, float64(p.size.Daemons))
	return []Row{
		{
			Role: "fleet", Quantity: "convergence, 99 in 100", Unit: "s", Estimate: p.at(SeriesConvergence, levels),
			Budget:  p.budgets.ConvergenceSeconds,
			Formula: "convergence-p99 at the tree's levels", Mechanism: "push down a tree of bounded depth",
		},
		{
			Role: "relay", Quantity: "bytes when all its children return with nothing", Unit: "B",
			Estimate: transfer.scale(float64(p.size.FanOut)),
			Formula:  "fan-out x full-transfer-bytes", Mechanism: "session admission, resume by version",
		},
	}
}

// SeriesNames returns the names of the series that Project needs.
func SeriesNames() []string {
	return []string{
		SeriesSessionIdleBytes, SeriesChangeBytes, SeriesRecordBytes,
		SeriesSessionIdleCPU, SeriesChangeCPU, SeriesRecordCPU,
		SeriesMemory, SeriesSessionMemory, SeriesConvergence, SeriesHeadBytes,
		SeriesStoreIdleWrites, SeriesStoreIdleReads, SeriesStoreChangeReads, SeriesStoreChangeWrites,
		SeriesCallCPU, SeriesAddedP99, SeriesFullTransferBytes,
	}
}
