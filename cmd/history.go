package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/planner"
)

// historyCommand prints the audit trail of the configuration changes.
type historyCommand struct {
	client
	output outputFlag
	limit  int
}

func (h *historyCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "history",
		Short: "Show who changed what, when and why",
		Example: `  bambooweir history --limit 5
  bambooweir history --output json`,
		Args: cobra.NoArgs,
		RunE: h.run,
	}
	h.addDaemonFlag(c)
	h.output.addFlag(c, outputJSON)
	c.Flags().IntVar(&h.limit, "limit", 20, "number of versions to show, newest first")
	return c
}

func (h *historyCommand) run(c *cobra.Command, _ []string) error {
	var answer operator.AuditAnswer
	path := fmt.Sprintf("%s?%s=%d", operator.HistoryPath, operator.ParamLimit, h.limit)
	if err := h.getWithProgress(c, path, &answer); err != nil {
		return err
	}
	if h.output.value == outputJSON {
		return printJSON(c, answer)
	}
	rows := [][]string{{"VERSION", "AT", "PARTNER", "AUTHOR", "REASON", "CHANGE", "EDITS"}}
	for _, d := range answer.Changes {
		row := []string{
			fmt.Sprint(d.To), d.Audit.At.Format(time.DateTime), orDash(d.Audit.Partner),
			orDash(d.Audit.Author), orDash(d.Audit.Reason), d.Audit.ChangeID,
		}
		for _, e := range planner.DeltaEdits(d) {
			rows = append(rows, append(row, fmt.Sprintf("%s %s: %s", e.Action, e.Key, joinChanges(e))))
			row = make([]string, len(row))
		}
	}
	return printTable(c, rows)
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
