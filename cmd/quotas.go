package cmd

import (
	"strconv"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// quotasCommand lists the quotas of tenants.
type quotasCommand struct {
	client
	output outputFlag
}

func (q *quotasCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "quotas",
		Short: "List the quotas of tenants as a daemon sees them",
		Long: `Quotas lists the tenants whose calls arrive at a daemon: how many it admitted and
refused, and which daemon keeps the quota, the home. For the tenants of which the daemon
itself is the home, left is the number of calls that all daemons may admit at once.`,
		Example: `  bambooweir quotas
  bambooweir quotas --output json`,
		Args: cobra.NoArgs,
		RunE: q.run,
	}
	q.addDaemonFlag(c)
	q.output.addFlag(c, outputJSON)
	return c
}

func (q *quotasCommand) run(c *cobra.Command, _ []string) error {
	var answer operator.QuotasAnswer
	if err := q.getWithProgress(c, operator.QuotasPath, &answer); err != nil {
		return err
	}
	if q.output.value == outputJSON {
		return printJSON(c, answer)
	}
	rows := [][]string{{"TENANT", "CALLS/S", "ADMITTED", "OVER LIMIT", "UNREACHABLE", "HOME", "LEFT", "SHARE"}}
	for _, t := range answer.Tenants {
		left, share := "", ""
		if s := t.HomeState; s != nil {
			left, share = strconv.FormatFloat(s.Left, 'f', 1, 64), strconv.FormatFloat(s.Share, 'f', 2, 64)
		}
		rows = append(rows, []string{
			t.Tenant, strconv.FormatFloat(t.CallsPerS, 'f', 1, 64), strconv.FormatUint(t.Admitted, 10),
			strconv.FormatUint(t.OverLimit, 10), strconv.FormatUint(t.Unreachable, 10), orDash(t.Home), orDash(left), orDash(share),
		})
	}
	return printTable(c, rows)
}
