package cmd

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputTOML  = "toml"
)

// outputFlag is the flag --output, which selects the format of a command's output.
type outputFlag struct{ value string }

// addFlag adds the flag to c with the formats table, the default, and others. It
// sets c.PreRunE to reject other values.
func (o *outputFlag) addFlag(c *cobra.Command, others ...string) {
	formats := append([]string{outputTable}, others...)
	c.Flags().StringVar(&o.value, "output", outputTable, "output format: "+strings.Join(formats, ", "))
	check := func(*cobra.Command, []string) error {
		if slices.Contains(formats, o.value) {
			return nil
		}
		return badInput(fmt.Errorf("--output must be one of %s, got %q", strings.Join(formats, ", "), o.value))
	}
	c.PreRunE = check
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
}

func printJSON(c *cobra.Command, v any) error {
	enc := json.NewEncoder(c.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable prints rows in aligned columns.
func printTable(c *cobra.Command, rows [][]string) error {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// progressDelay is how long a command waits before it prints a progress line.
const progressDelay = 2 * time.Second

// progress prints text on standard error after progressDelay, unless the function
// that it returns is called first.
func progress(c *cobra.Command, text string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-done:
		case <-time.After(progressDelay):
			c.PrintErrln(text)
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// joinFields formats fields as name=value, sorted by name.
func joinFields(fields map[string]string) string {
	var parts []string
	for name, value := range fields {
		parts = append(parts, name+"="+value)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
