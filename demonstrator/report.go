package demonstrator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/versioner"
)

// report prints the report. It fails with a *ViolationError if an invariant was
// violated.
func (d *demonstration) report() error {
	d.fleet.recorder.MarkFaultsInjected()
	if err := d.fleet.recordJournals(); err != nil {
		return err
	}
	d.reportVersions()
	d.reportCalls()
	counts := d.fleet.store.Counts()
	fmt.Fprintf(d.w, "\nStore calls: %d reads, %d writes, %d watches.\n", counts.Reads, counts.Writes, counts.Watches)
	d.reportControlBytes()
	violations := d.fleet.recorder.Check()
	for _, line := range checker.Summarize(violations) {
		fmt.Fprintln(d.w, "BROKEN", line)
	}
	if len(violations) > 0 {
		return &ViolationError{Violations: violations}
	}
	fmt.Fprintf(d.w, "All %d invariants held: %s.\n", len(checker.Invariants()), joinNames(checker.Invariants()))
	return nil
}

// joinNames returns the invariants' names as a list.
func joinNames(invariants []checker.Invariant) string {
	names := make([]string, len(invariants))
	for i, v := range invariants {
		names[i] = string(v)
	}
	return strings.Join(names, ", ")
}

// reportVersions prints a table of the accepted versions.
func (d *demonstration) reportVersions() {
	inForce := make(map[versioner.Version]int)
	for _, i := range d.fleet.instances {
		if status, err := readStatus(context.Background(), i); err == nil {
			inForce[status.Version]++
		}
	}
	fmt.Fprintln(d.w)
	tw := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "VERSION\tAUTHOR\tREASON\tCONVERGENCE\tIN FORCE ON")
	for _, c := range d.changes {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%d daemons\n", c.version, c.author, c.reason, c.convergenceTime.Round(time.Millisecond), inForce[c.version])
	}
	_ = tw.Flush()
}

// reportCalls prints a table of the outcomes of the calls, by kind.
func (d *demonstration) reportCalls() {
	outcomes := []caller.Outcome{caller.Answered, caller.NotRun, caller.Unknown, caller.Lost, caller.Unreachable}
	counts := make(map[string]map[caller.Outcome]int)
	for _, result := range d.traffic.results {
		kind := result.Call.ID[:strings.LastIndexByte(result.Call.ID, '-')]
		if counts[kind] == nil {
			counts[kind] = make(map[caller.Outcome]int)
		}
		counts[kind][result.Outcome]++
	}
	kinds := make([]string, 0, len(counts))
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	fmt.Fprintln(d.w)
	tw := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "CALLS\tANSWERED\tNOT RUN\tUNKNOWN\tENTRY LOST\tENTRY UNREACHABLE\t")
	for _, kind := range kinds {
		fmt.Fprintf(tw, "%s\t", kind)
		for _, o := range outcomes {
			fmt.Fprintf(tw, "%d\t", counts[kind][o])
		}
		fmt.Fprintln(tw)
	}
	_ = tw.Flush()
}

// reportControlBytes prints the bytes of the daemons' control links. A daemon that
// was restarted counts as two.
func (d *demonstration) reportControlBytes() {
	var total, busiest int64
	for _, daemon := range d.fleet.daemons {
		sent, received := daemon.ControlBytes()
		total += sent + received
		busiest = max(busiest, sent+received)
	}
	seconds := time.Since(d.start).Seconds()
	mean := float64(total) / float64(len(d.fleet.daemons)) / seconds
	fmt.Fprintf(d.w, "Control bytes: %.0f B/s of a daemon in the mean, %.0f of the busiest.\n", mean, float64(busiest)/seconds)
}
