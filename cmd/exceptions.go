package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// exceptionsCommand lists the exceptions.
type exceptionsCommand struct {
	client
	output outputFlag
}

func (x *exceptionsCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "exceptions",
		Short: "List the exceptions beside the defaults that they depart from",
		Example: `  bambooweir exceptions
  bambooweir exceptions --output json`,
		Args: cobra.NoArgs,
		RunE: x.run,
	}
	x.daemonFlag(c)
	x.output.flags(c, outputJSON)
	return c
}

func (x *exceptionsCommand) run(c *cobra.Command, _ []string) error {
	var answer operator.ExceptionsAnswer
	if err := x.fetch(c, operator.ExceptionsPath, &answer); err != nil {
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
			e.Reason, dash(e.Author), age(time.Since(e.At.Time())),
		})
	}
	return printTable(c, rows)
}

// age writes a duration in its largest whole unit.
func age(d time.Duration) string {
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
