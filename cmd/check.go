package cmd

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/validator"
	"bambooweir.example/bambooweir/versioner"
)

// checkCommand validates settings files and edits files offline.
type checkCommand struct {
	isWhole bool
	output  outputFlag
}

// checkAnswer is the JSON output of the check command.
type checkAnswer struct {
	Problems []decoder.Problem `json:"problems"`
}

func (k *checkCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and configuration files without running anything",
		Long: `Check reads daemon settings files and edits files and prints every problem as
file:line:column: key: what was expected. It treats a file as daemon settings if
it sets any key of the daemon settings, and as edits otherwise. With --whole, each
edits file must also be valid as the complete shared configuration.

Exit status: 0 no problem, 2 at least one.`,
		Example: `  bambooweir check daemon.toml routes.toml
  bambooweir check --whole first.toml`,
		Args: cobra.MinimumNArgs(1),
		RunE: k.run,
	}
	c.Flags().BoolVar(&k.isWhole, "whole", false, "check each edits file as the complete shared configuration")
	k.output.addFlag(c, outputJSON)
	return c
}

func (k *checkCommand) run(c *cobra.Command, args []string) error {
	answer := checkAnswer{Problems: []decoder.Problem{}}
	for _, path := range args {
		err := k.checkFile(path)
		var invalid *decoder.InvalidError
		switch {
		case errors.As(err, &invalid):
			answer.Problems = append(answer.Problems, invalid.Problems...)
		case err != nil:
			answer.Problems = append(answer.Problems, decoder.Problem{File: path, Line: 1, Column: 1, Want: err.Error()})
		case k.output.value != outputJSON:
			fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", path)
		}
	}
	if err := k.print(c, answer); err != nil {
		return err
	}
	if n := len(answer.Problems); n > 0 {
		return badInput(fmt.Errorf("%d problems", n))
	}
	return nil
}

func (k *checkCommand) print(c *cobra.Command, answer checkAnswer) error {
	if k.output.value == outputJSON {
		return printJSON(c, answer)
	}
	for _, p := range answer.Problems {
		c.PrintErrln(p)
	}
	return nil
}

// checkFile checks one file. It returns a *decoder.InvalidError for problems in
// the contents.
func (k *checkCommand) checkFile(path string) error {
	b, err := readFile(path)
	if err != nil {
		return err
	}
	if isSettings(b) {
		_, err := loader.Parse(path, b)
		return err
	}
	edits, err := parser.Parse(path, b)
	if err != nil || !k.isWhole {
		return err
	}
	doc := new(versioner.Document).With(edits.Upserts, nil)
	var invalid *validator.InvalidError
	if errors.As(validator.Check(doc), &invalid) {
		return edits.Locate(invalid)
	}
	return nil
}

// isSettings reports whether b is TOML that sets a key of the daemon settings.
func isSettings(b []byte) bool {
	var tree map[string]any
	if len(b) > decoder.MaxFileBytes || toml.Unmarshal(b, &tree) != nil {
		return false
	}
	for _, row := range loader.Rows() {
		if _, ok := tree[row.Key]; ok {
			return true
		}
	}
	return false
}
