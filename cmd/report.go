package cmd

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/reporter"
)

// defaultJournal is the folder in which the bench keeps its journal.
const defaultJournal = "journal"

// busiestLimits are the limits at the size that the system is designed for. The limits on
// bytes and processor time are for control alone, and the bench measures them with calls.
var busiestLimits = reporter.Limits{
	"daemon: memory MB":                 256,
	"daemon: connections":               4100,
	"config in force, ms":               20_000,
	"serving after all were killed, ms": 15_000,
}

// reportCommand reports what a journal of plays holds.
type reportCommand struct {
	output outputFlag
	plots  string
}

func (r *reportCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use: "report [DIR]", Short: "Report the plays that a journal of the bench holds",
		Long: `Report reads the entries in the folder DIR (journal if it is left out) and prints, for each
site and standard day, the worth of the first, the highest and the newest round, and for each
site that was swept how the loads of the daemons grow with the fleet. Days that were played in
part or on fewer machines, and those of hunts, are left out. Files that are not entries are
named and skipped. With --plots it also draws worth, prices and growth as SVG files.`,
		Example: `  bambooweir report
  bambooweir report --plots docs/plots
  bambooweir report --output json`,
		Args: cobra.MaximumNArgs(1), RunE: r.run,
	}
	c.Flags().StringVar(&r.plots, "plots", "", "folder in which to draw the plots; empty draws none")
	r.output.addFlag(c, outputJSON)
	return c
}

func (r *reportCommand) run(c *cobra.Command, args []string) error {
	dir := defaultJournal
	if len(args) > 0 {
		dir = args[0]
	}
	journal, err := reporter.Read(dir)
	if err != nil {
		return badInput(err)
	}
	if r.output.value == outputJSON {
		err = json.NewEncoder(c.OutOrStdout()).Encode(journal)
	} else {
		err = journal.WriteTable(c.OutOrStdout())
	}
	if err != nil || r.plots == "" {
		return err
	}
	paths, err := journal.WritePlots(r.plots, busiestLimits)
	if err != nil {
		return err
	}
	for _, path := range paths {
		fmt.Fprintln(c.ErrOrStderr(), path)
	}
	return nil
}
