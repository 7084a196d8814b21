package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// exceptionsCommand lists the exceptions to the fleet-wide default settings.
type exceptionsCommand struct {
	client
	output outputFlag
}

func (x *exceptionsCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "exceptions",
		Short: "List the exceptions with the default values that they override",
		Example: `  bambooweir exceptions
  bambooweir exceptions --output json`,
		Args: cobra.NoArgs,
		RunE: x.run,
	}
	x.addDaemonFlag(c)
	x.output.addFlag(c, outputJSON)
	return c
}

func (x *exceptionsCommand) run(c *cobra.Command, _ []string) error {
	var answer operator.ExceptionsAnswer
	if err := x.getWithProgress(c, operator.ExceptionsPath, &answer); err != nil {
		return err
	}
	if x.output.value == outputJSON {
		return printJSON(c, answer)
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d\n\n", answer.Version)
	rows := [][]string{{"EXCEPTION", "SCOPE", "SETTING", "VALUE", "DEFAULT", "REASON", "AUTHOR", "AGE"}}
	for _, d := range answer.Exceptions {
		e := d.Exception
		rows = append(rows, []string{
			d.Name, scopeText(e.Scope()), e.Setting, fmt.Sprint(e.Value), fmt.Sprint(d.Default),
			e.Reason, orDash(e.Author), formatAge(time.Since(e.At.Time())),
		})
	}
	return printTable(c, rows)
}

// formatAge formats d in the largest unit of which it holds at least two, or in
// seconds.
func formatAge(d time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case d >= 2*day:
		return fmt.Sprintf("%d days", d/day)
	case d >= 2*time.Hour:
		return fmt.Sprintf("%d hours", d/time.Hour)
	case d >= 2*time.Minute:
		return fmt.Sprintf("%d minutes", d/time.Minute)
	}
	return fmt.Sprintf("%d seconds", max(0, d/time.Second))
}
