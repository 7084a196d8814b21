package cmd

import (
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/explainer"
)

// explainCommand reconstructs the course of one request from daemon logs.
type explainCommand struct{ output outputFlag }

func (e *explainCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use: "explain ID [FILE...]", Short: "Explain from logs what happened to one request",
		Long: `Explain prints the log entries of the request with the given id and of its nested
requests, from the logs of any number of daemons, in chronological order. The last
line gives the cause. Without a file it reads standard input.`,
		Args: cobra.MinimumNArgs(1), RunE: e.run,
	}
	e.output.addFlag(c, outputJSON)
	return c
}

func (e *explainCommand) run(c *cobra.Command, args []string) error {
	var logs []io.Reader
	for _, path := range args[1:] {
		f, err := os.Open(path)
		if err != nil {
			return badInput(err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, c.InOrStdin())
	}
	timeline, err := explainer.Explain(args[0], logs...)
	if err != nil {
		return err
	}
	if e.output.value == outputJSON {
		return json.NewEncoder(c.OutOrStdout()).Encode(timeline)
	}
	return timeline.Write(c.OutOrStdout())
}
