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

// editsFile is a file of edits that was read and checked.
type editsFile struct{ edits *parser.Edits }

// readEdits reads and checks a file of edits, "-" meaning standard input.
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

// locate gives the problems of entries that a daemon found their places in the
// file.
func (f *editsFile) locate(err error) error {
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
