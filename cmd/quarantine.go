package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// quarantineCommand lists the requests that are not run.
type quarantineCommand struct {
	client
	output outputFlag
}

func (q *quarantineCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "List the requests that are not run because they end the targets that run them",
		Long: `Quarantine lists the requests that a daemon refuses, because targets ended each
time that they ran them. The digest identifies a request in the daemons' logs.`,
		Example: `  bambooweir quarantine
  bambooweir quarantine --output json`,
		Args: cobra.NoArgs,
		RunE: q.run,
	}
	q.addDaemonFlag(c)
	q.output.addFlag(c, outputJSON)
	return c
}

func (q *quarantineCommand) run(c *cobra.Command, _ []string) error {
	var answer operator.QuarantineAnswer
	if err := q.getWithProgress(c, operator.QuarantinePath, &answer); err != nil {
		return err
	}
	if q.output.value == outputJSON {
		return printJSON(c, answer)
	}
	rows := [][]string{{"REQUEST", "SERVICE", "PARTNER", "CRASHES", "LAST", "TRIED AGAIN IN"}}
	for _, r := range answer.Requests {
		rows = append(rows, []string{
			r.Digest, r.Service, orDash(r.Partner), strconv.Itoa(r.Crashes),
			formatAge(time.Duration(r.SinceMS) * time.Millisecond), formatAge(time.Duration(r.RemainingMS) * time.Millisecond),
		})
	}
	return printTable(c, rows)
}
