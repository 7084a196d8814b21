package cmd

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/versioner"
)

// showCommand prints the shared configuration.
type showCommand struct {
	client
	output outputFlag
	source string
}

func (s *showCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "show",
		Short: "Show the shared configuration",
		Long: `Show prints the newest accepted version, or the one in force on the daemon that
answers. The TOML output can be edited and applied.`,
		Example: `  bambooweir show
  bambooweir show --output toml > edits.toml`,
		Args: cobra.NoArgs,
		RunE: s.run,
	}
	s.addDaemonFlag(c)
	s.output.addFlag(c, outputJSON, outputTOML)
	c.Flags().StringVar(&s.source, "source", "newest", "version to show: newest, or in-force for the one in force on the daemon")
	return c
}

func (s *showCommand) run(c *cobra.Command, _ []string) error {
	q := url.Values{operator.ParamSource: {s.source}}
	if s.output.value == outputTOML {
		q.Set(operator.ParamFormat, outputTOML)
		b, err := s.do(c.Context(), http.MethodGet, operator.ConfigurationPath+"?"+q.Encode(), nil, nil)
		if err != nil {
			return withStatus(err)
		}
		_, err = c.OutOrStdout().Write(b)
		return err
	}
	var doc versioner.Document
	if err := s.getWithProgress(c, operator.ConfigurationPath+"?"+q.Encode(), &doc); err != nil {
		return err
	}
	if s.output.value == outputJSON {
		return printJSON(c, doc)
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d\n\n", doc.Version)
	rows := [][]string{{"ENTRY", "CHANGED IN", "FIELDS"}}
	for _, e := range doc.Entries {
		rows = append(rows, []string{e.Key.String(), fmt.Sprint(e.Revision), joinFields(planner.Fields(&e))})
	}
	return printTable(c, rows)
}
