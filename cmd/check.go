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

// checkCommand checks files without running anything.
type checkCommand struct {
	isWhole bool
	output  outputFlag
}

// checkAnswer lists what is wrong with the files.
type checkAnswer struct {
	Problems []decoder.Problem `json:"problems"`
}

func (k *checkCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and configuration files without running anything",
		Long: `Check reads settings of daemons and files of edits and prints every problem as
file:line:column: key: what was expected. A file that sets a key of a daemon is
taken for its settings. With --whole each file of edits must also be valid as the
whole shared configuration.

Exit status: 0 no problem, 2 at least one.`,
		Example: `  bambooweir check daemon.toml routes.toml
  bambooweir check --whole first.toml`,
		Args: cobra.MinimumNArgs(1),
		RunE: k.run,
	}
	c.Flags().BoolVar(&k.isWhole, "whole", false, "check files of edits as the whole shared configuration")
	k.output.flags(c, outputJSON)
	return c
}

func (k *checkCommand) run(c *cobra.Command, args []string) error {
	answer := checkAnswer{Problems: []decoder.Problem{}}
	for _, path := range args {
		err := k.check(path)
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

func (k *checkCommand) check(path string) error {
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

// isSettings says whether the file sets a key that only daemons have.
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
