package decoder

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checkTypes notes unknown keys and wrong types of the tree, and removes them
// from it.
func (f *File) checkTypes(tree map[string]any, out any) {
	f.checkStruct("", tree, reflect.TypeOf(out).Elem())
}

func (f *File) checkStruct(path string, tree map[string]any, t reflect.Type) {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ","); tag != "" && tag != "-" {
			fields[tag] = t.Field(i).Type
		}
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		field, ok := fields[key]
		if !ok {
			f.Add(join(path, key), "unknown key%s", suggestion(key, fields))
		}
		if !ok || !f.check(join(path, key), tree[key], field) {
			delete(tree, key)
		}
	}
}

// check says whether the value itself has the type; faults within a table are
// removed from the table.
func (f *File) check(path string, value any, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer:
		return f.check(path, value, t.Elem())
	case reflect.Struct, reflect.Map:
		return f.checkTable(path, value, t)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			return f.reject(path, "a list", value)
		}
		return !slices.ContainsFunc(list, func(v any) bool { return !f.checkScalar(path, v, t.Elem()) })
	default:
		return f.checkScalar(path, value, t)
	}
}

func (f *File) checkTable(path string, value any, t reflect.Type) bool {
	tree, ok := value.(map[string]any)
	if !ok {
		return f.reject(path, "a table", value)
	}
	if t.Kind() == reflect.Struct {
		f.checkStruct(path, tree, t)
		return true
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		if !f.check(join(path, key), tree[key], t.Elem()) {
			delete(tree, key)
		}
	}
	return true
}

func (f *File) checkScalar(path string, value any, t reflect.Type) bool {
	want, ok := "", false
	switch t.Kind() {
	case reflect.String:
		want = "a string"
		_, ok = value.(string)
	case reflect.Bool:
		want = "true or false"
		_, ok = value.(bool)
	case reflect.Float64:
		want = "a number"
		_, ok = value.(float64)
		if !ok {
			_, ok = value.(int64)
		}
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		want = "a whole number from 0"
		n, isInt := value.(int64)
		ok = isInt && n >= 0
	default:
		want = "a whole number"
		_, ok = value.(int64)
	}
	return ok || f.reject(path, want, value)
}

// reject notes a value of the wrong type.
func (f *File) reject(path, want string, value any) bool {
	f.Add(path, "must be %s, got %s", want, describe(value))
	f.rejected[path] = true
	return false
}

// describe names a value's type in the words of TOML.
func describe(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("the string %.40q", v)
	case int64:
		return fmt.Sprintf("the number %d", v)
	case float64:
		return fmt.Sprintf("the number %g", v)
	case bool:
		return fmt.Sprintf("%t", v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// suggestion names the known key that an unknown one resembles.
func suggestion(key string, fields map[string]reflect.Type) string {
	best, distance := "", 3
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if d := editDistance(key, known); d < distance {
			best, distance = known, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// editDistance is the Levenshtein distance of short strings; long ones count as
// far apart.
func editDistance(a, b string) int {
	const longest = 64
	if len(a) > longest || len(b) > longest {
		return longest
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
