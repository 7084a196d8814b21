// Package decoder reads TOML strictly and reports every problem with its place.
//
// Package loader reads settings with it, package parser the operators'
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
	// MaxFileBytes bounds a file.
	MaxFileBytes = 1 << 20
	// maxProblems bounds the problems that are reported of one file.
	maxProblems = 100
	// maxDepth is the longest key whose place is kept, in segments.
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

// InvalidError holds every problem of a file.
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

// File is a decoded file. It collects the problems that are found in it.
type File struct {
	name    string
	data    []byte
	offsets map[string]int
	// rejected holds the keys whose values have the wrong type.
	rejected map[string]bool

	problems []Problem
	isBroken bool
}

// Decode reads TOML into the struct that out points to, whose fields have toml
// tags. The file called name keeps its problems; see Err. What has a problem is
// left out of the struct, so that the rest can be checked as well.
func Decode(name string, data []byte, out any) *File {
	f := &File{name: name, data: data, offsets: make(map[string]int), rejected: make(map[string]bool)}
	if len(data) > MaxFileBytes {
		f.isBroken = true
		f.addAt(0, "", fmt.Sprintf("must be at most %d bytes, got %d", MaxFileBytes, len(data)))
		return f
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		f.syntax(err)
		return f
	}
	f.locate()
	f.checkTypes(tree, out)
	if len(f.problems) > 0 {
		var err error
		if data, err = toml.Marshal(tree); err != nil {
			f.syntax(err)
			return f
		}
	}
	if err := toml.Unmarshal(data, out); err != nil {
		f.syntax(err)
	}
	return f
}

// Blank returns the file without its problems.
func (f *File) Blank() *File { return &File{name: f.name, data: f.data, offsets: f.offsets} }

// Err returns an *InvalidError with every problem found so far, by place, or nil.
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

// Has says whether the file sets the key.
func (f *File) Has(key string) bool {
	_, ok := f.offsets[key]
	return ok
}

// IsBroken says whether the file could not be read at all, so that nothing can
// be said of its keys.
func (f *File) IsBroken() bool { return f.isBroken }

// IsRejected says whether the key's value has the wrong type.
func (f *File) IsRejected(key string) bool { return f.rejected[key] }

// Add notes a problem of the key, at the place of the key or of the closest
// table that holds it. A key whose value has the wrong type gets no other.
func (f *File) Add(key, format string, args ...any) {
	if f.IsRejected(key) {
		return
	}
	f.addAt(f.offset(key), key, fmt.Sprintf(format, args...))
}

func (f *File) offset(key string) int {
	for prefix := key; prefix != ""; {
		if offset, ok := f.offsets[prefix]; ok {
			return offset
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '.'))]
	}
	return 0
}

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

// syntax notes what the TOML library found.
func (f *File) syntax(err error) {
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

// locate keeps the offset of each key of the file.
func (f *File) locate() {
	var p unstable.Parser
	p.Reset(f.data)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = f.locateKey(nil, e.Key())
		case unstable.KeyValue:
			f.locateValue(table, e)
		}
	}
}

func (f *File) locateValue(table []string, e *unstable.Node) {
	path := f.locateKey(table, e.Key())
	if value := e.Value(); value.Kind == unstable.InlineTable && len(path) < maxDepth {
		for it := value.Children(); it.Next(); {
			f.locateValue(path, it.Node())
		}
	}
}

// locateKey keeps the offsets of a key's segments and returns its full path.
func (f *File) locateKey(table []string, key unstable.Iterator) []string {
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
