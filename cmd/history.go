package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/planner"
)

// historyCommand shows the audit trail.
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
	h.daemonFlag(c)
	h.output.flags(c, outputJSON)
	c.Flags().IntVar(&h.limit, "limit", 20, "number of versions to show, newest first")
	return c
}

func (h *historyCommand) run(c *cobra.Command, _ []string) error {
	var answer operator.AuditAnswer
	path := fmt.Sprintf("%s?%s=%d", operator.HistoryPath, operator.ParamLimit, h.limit)
	if err := h.fetch(c, path, &answer); err != nil {
		return err
	}
	if h.output.value == outputJSON {
		return printJSON(c, answer)
	}
	rows := [][]string{{"VERSION", "AT", "PARTNER", "AUTHOR", "REASON", "CHANGE", "EDITS"}}
	for _, d := range answer.Changes {
		row := []string{
			fmt.Sprint(d.To), d.Audit.At.Format(time.DateTime), dash(d.Audit.Partner),
			dash(d.Audit.Author), dash(d.Audit.Reason), d.Audit.ChangeID,
		}
		for _, e := range planner.DeltaEdits(d) {
			rows = append(rows, append(row, fmt.Sprintf("%s %s: %s", e.Action, e.Key, joinChanges(e))))
			row = make([]string, len(row))
		}
	}
	return printTable(c, rows)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
