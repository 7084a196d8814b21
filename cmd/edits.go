package cmd

import (
	"errors"
	"io"
	"os"
	"strings"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/validator"
)

// editsFile holds the parsed edits of a file.
type editsFile struct{ edits *parser.Edits }

// readEdits reads and parses an edits file, and returns it with its raw contents.
// The path "-" means standard input.
func readEdits(path string) (*editsFile, []byte, error) {
	b, err := readFile(path)
	if err != nil {
		return nil, nil, badInput(err)
	}
	edits, err := parser.Parse(path, b)
	if err != nil {
		return nil, nil, badInput(err)
	}
	return &editsFile{edits: edits}, b, nil
}

// readFile reads at most one byte more than decoder.MaxFileBytes, so that the
// parser can detect a file that is too large.
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, decoder.MaxFileBytes+1))
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, decoder.MaxFileBytes+1))
}

// addPositions adds the positions in the file to the problems with entries that a
// daemon reported in err.
func (f *editsFile) addPositions(err error) error {
	var p *problemError
	if !errors.As(err, &p) || len(p.problem.Entries) == 0 {
		return err
	}
	located := f.edits.Locate(&validator.InvalidError{Problems: p.problem.Entries})
	p.problem.Detail = located.Error()
	return err
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
