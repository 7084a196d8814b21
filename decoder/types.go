package decoder

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checkTypes adds problems for the keys of the tree that out has no field for and for
// values of the wrong type, and removes both from the tree.
func (f *File) checkTypes(tree map[string]any, out any) {
	f.checkStruct("", tree, reflect.TypeOf(out).Elem())
}

// checkStruct checks the keys and values of a table that is decoded into a struct.
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
		if !ok || !f.checkValue(join(path, key), tree[key], field) {
			delete(tree, key)
		}
	}
}

// checkValue reports whether the value has the type. Keys and values with problems
// within a table are removed from the table and don't count.
func (f *File) checkValue(path string, value any, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer:
		return f.checkValue(path, value, t.Elem())
	case reflect.Struct, reflect.Map:
		return f.checkTable(path, value, t)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			return f.rejectValue(path, "a list", value)
		}
		return !slices.ContainsFunc(list, func(v any) bool { return !f.checkValue(path, v, t.Elem()) })
	default:
		return f.checkScalar(path, value, t)
	}
}

// checkTable reports whether the value is a table, and checks its contents against t,
// a struct or a map.
func (f *File) checkTable(path string, value any, t reflect.Type) bool {
	tree, ok := value.(map[string]any)
	if !ok {
		return f.rejectValue(path, "a table", value)
	}
	if t.Kind() == reflect.Struct {
		f.checkStruct(path, tree, t)
		return true
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		if !f.checkValue(join(path, key), tree[key], t.Elem()) {
			delete(tree, key)
		}
	}
	return true
}

// checkScalar reports whether the value has the scalar type. A whole number is also
// valid for a field of floating-point type.
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
	return ok || f.rejectValue(path, want, value)
}

// rejectValue adds the problem of a value with the wrong type, and returns false.
func (f *File) rejectValue(path, want string, value any) bool {
	f.Add(path, "must be %s, got %s", want, describe(value))
	f.rejected[path] = true
	return false
}

// describe returns a value for a message, or only its TOML type if it is a list, a
// table, a date or a time.
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

// join returns the dotted path of a key in the table at path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// suggestion returns a hint at the known key that is closest to an unknown one, or ""
// if none is within an edit distance of 2.
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

// editDistance returns the Levenshtein distance of two strings of up to 64 bytes. For
// longer ones it returns 64, so that long keys cost little time.
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
