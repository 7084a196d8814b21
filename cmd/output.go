package cmd

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputTOML  = "toml"
)

// outputFlag chooses the form of a command's output. The table is the default.
type outputFlag struct{ value string }

func (o *outputFlag) flags(c *cobra.Command, others ...string) {
	forms := append([]string{outputTable}, others...)
	c.Flags().StringVar(&o.value, "output", outputTable, "form of the output: "+strings.Join(forms, ", "))
	check := func(*cobra.Command, []string) error {
		if slices.Contains(forms, o.value) {
			return nil
		}
		return &statusError{status: statusBadInput, err: fmt.Errorf("--output must be one of %s, got %q", strings.Join(forms, ", "), o.value)}
	}
	c.PreRunE = check
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(forms, cobra.ShellCompDirectiveNoFileComp))
}

func printJSON(c *cobra.Command, v any) error {
	enc := json.NewEncoder(c.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printTable writes rows in columns.
func printTable(c *cobra.Command, rows [][]string) error {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// joinFields writes fields as name=value, by name.
func joinFields(fields map[string]string) string {
	var parts []string
	for name, value := range fields {
		parts = append(parts, name+"="+value)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
