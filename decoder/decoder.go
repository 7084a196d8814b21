// Package decoder reads TOML files strictly and reports every problem with its
// position.
//
// Package loader uses it for settings, and package parser for the operators'
// configuration files.
package decoder

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// MaxFileBytes is the largest size of a file.
	MaxFileBytes = 1 << 20
	// maxProblems bounds the problems that are reported for one file.
	maxProblems = 100
	// maxDepth bounds the depth, in key segments, to which positions of keys are
	// recorded. Keys of configuration files have three: kind.name.field.
	maxDepth = 4
)

// Problem is one fault of a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key,omitempty"`
	// Want says what was expected.
	Want string `json:"want"`
}

// String returns the problem as file:line:column: key: want.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Want)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Want)
}

// InvalidError reports an invalid file, with all of its problems.
//
// Invariant: Problems is not empty.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is a decoded file. It collects the file's problems.
type File struct {
	name string
	data []byte
	// offsets holds the byte offset of each key of the file.
	offsets map[string]int
	// rejected holds the keys whose values have the wrong type.
	rejected map[string]bool

	problems []Problem
	isBroken bool
}

// Decode reads TOML into the struct that out points to, whose fields have toml
// tags. It returns a File, called name in problems, whose Err returns the problems
// found. Values with problems are left out of the struct, so that the caller can
// check the others as well.
func Decode(name string, data []byte, out any) *File {
	f := &File{name: name, data: data, offsets: make(map[string]int), rejected: make(map[string]bool)}
	if len(data) > MaxFileBytes {
		f.isBroken = true
		f.addAt(0, "", fmt.Sprintf("must be at most %d bytes, got %d", MaxFileBytes, len(data)))
		return f
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		f.addSyntaxError(err)
		return f
	}
	f.recordOffsets()
	f.checkTypes(tree, out)
	if len(f.problems) > 0 {
		var err error
		if data, err = toml.Marshal(tree); err != nil {
			f.addSyntaxError(err)
			return f
		}
	}
	if err := toml.Unmarshal(data, out); err != nil {
		f.addSyntaxError(err)
	}
	return f
}

// WithoutProblems returns a copy of the file that has no problems yet.
func (f *File) WithoutProblems() *File { return &File{name: f.name, data: f.data, offsets: f.offsets} }

// Err returns an *InvalidError with every problem found so far, sorted by position,
// or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	problems := slices.Clone(f.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Key, b.Key))
	})
	return &InvalidError{Problems: problems}
}

// Has reports whether the file sets the key.
func (f *File) Has(key string) bool {
	_, ok := f.offsets[key]
	return ok
}

// IsBroken reports whether the file is too large or could not be decoded as TOML, so
// that its keys can't be checked.
func (f *File) IsBroken() bool { return f.isBroken }

// IsRejected reports whether the key's value has the wrong type.
func (f *File) IsRejected(key string) bool { return f.rejected[key] }

// Add adds a problem of the key, at the position of the key or of the innermost
// table of the file that contains it. It ignores further problems of a key whose
// value has the wrong type.
func (f *File) Add(key, format string, args ...any) {
	if f.IsRejected(key) {
		return
	}
	f.addAt(f.offsetOf(key), key, fmt.Sprintf(format, args...))
}

// offsetOf returns the offset of the key or of the innermost table that contains it,
// or 0.
func (f *File) offsetOf(key string) int {
	for prefix := key; prefix != ""; {
		if offset, ok := f.offsets[prefix]; ok {
			return offset
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '.'))]
	}
	return 0
}

// addAt adds a problem at a byte offset, unless the file has maxProblems already.
func (f *File) addAt(offset int, key, want string) {
	if len(f.problems) >= maxProblems {
		return
	}
	before := f.data[:offset]
	f.problems = append(f.problems, Problem{
		File: f.name, Key: key, Want: want,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: offset - bytes.LastIndexByte(before, '\n'),
	})
}

// addSyntaxError adds the problem that the TOML library found, at its position, and
// marks the file as broken.
func (f *File) addSyntaxError(err error) {
	f.isBroken = true
	p := Problem{File: f.name, Line: 1, Column: 1, Want: err.Error()}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		p.Line, p.Column = at.Position()
		p.Key = strings.Join(at.Key(), ".")
		p.Want = strings.TrimPrefix(at.Error(), "toml: ")
	}
	f.problems = append(f.problems, p)
}

// recordOffsets records the offset of each key of the file.
func (f *File) recordOffsets() {
	var p unstable.Parser
	p.Reset(f.data)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = f.recordKeyOffsets(nil, e.Key())
		case unstable.KeyValue:
			f.recordValueOffsets(table, e)
		}
	}
}

// recordValueOffsets records the offsets of a key in a table and of the keys in its
// value if that is an inline table.
func (f *File) recordValueOffsets(table []string, e *unstable.Node) {
	path := f.recordKeyOffsets(table, e.Key())
	if value := e.Value(); value.Kind == unstable.InlineTable && len(path) < maxDepth {
		for it := value.Children(); it.Next(); {
			f.recordValueOffsets(path, it.Node())
		}
	}
}

// recordKeyOffsets records the offsets of a key's segments, unless they are known, and
// returns the key's full path, cut off after maxDepth+1 segments.
func (f *File) recordKeyOffsets(table []string, key unstable.Iterator) []string {
	path := table[:len(table):len(table)]
	for key.Next() && len(path) <= maxDepth {
		path = append(path, string(key.Node().Data))
		joined := strings.Join(path, ".")
		if _, ok := f.offsets[joined]; !ok {
			f.offsets[joined] = int(key.Node().Raw.Offset)
		}
	}
	return path
}
