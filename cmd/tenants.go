package cmd

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/tallier"
)

// tenantsCommand lists the busiest tenants at a daemon.
type tenantsCommand struct {
	client
	output outputFlag
}

func (t *tenantsCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "tenants",
		Short: "List the busiest tenants at a daemon and how their calls ended",
		Long: `Tenants lists the tenants that make the most calls at a daemon, with the number of
calls that were answered, refused below the tenant's quota, refused over it, and
that may have run, since the daemon started or the tenant became one of the busiest.
The last row counts all other calls of tenants.`,
		Example: `  bambooweir tenants
  bambooweir tenants --output json`,
		Args: cobra.NoArgs,
		RunE: t.run,
	}
	t.addDaemonFlag(c)
	t.output.addFlag(c, outputJSON)
	return c
}

func (t *tenantsCommand) run(c *cobra.Command, _ []string) error {
	var report operator.TenantReport
	if err := t.getWithProgress(c, operator.TenantsPath, &report); err != nil {
		return err
	}
	if t.output.value == outputJSON {
		return printJSON(c, report)
	}
	rows := [][]string{{"TENANT", "KEYS", "PRIORITY", "QUOTA", "ASKED", "ANSWERED", "REFUSED", "OVER QUOTA", "UNKNOWN"}}
	for _, s := range report.Tenants {
		keys, priority, quota := "removed", "-", "-"
		if s.IsConfigured {
			keys = strconv.Itoa(s.Keys)
		}
		if s.Priority != nil {
			priority = strconv.Itoa(*s.Priority)
		}
		if s.RatePerS > 0 {
			quota = fmt.Sprintf("%g/s+%g", s.RatePerS, s.Burst)
		}
		rows = append(rows, append([]string{s.Tenant, keys, priority, quota}, countCells(s.Counts)...))
	}
	rows = append(rows, append([]string{"(others)", "-", "-", "-"}, countCells(report.Others)...))
	if err := printTable(c, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "\n%d requests without a known API key\n", report.UnknownKeys)
	return err
}

// countCells returns the cells of a row that hold the counts.
func countCells(n tallier.Counts) []string {
	var cells []string
	for _, v := range []uint64{n.Asked, n.Answered, n.Refused, n.OverQuota, n.Unknown} {
		cells = append(cells, strconv.FormatUint(v, 10))
	}
	return cells
}
