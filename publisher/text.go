package publisher

import (
	"expvar"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Prefix starts the name of every metric in the text form.
const Prefix = "bambooweir_"

// WriteText writes the metrics of one instance in the Prometheus text format: the
// numbers of the map, and then the set unless it is nil. The name of a number is
// Prefix followed by its path in the map, with underscores as separators.
func WriteText(w io.Writer, m *expvar.Map, set *metrics.Set) {
	for _, v := range Numbers(m) {
		fmt.Fprintf(w, "%s %s\n", v.Name, v.Value)
	}
	if set != nil {
		set.WritePrometheus(w)
	}
}

// Number is one numeric metric of a map.
type Number struct {
	// Name is the metric's name in the text format.
	Name string
	// Path holds the keys that lead to the metric in the map.
	Path []string
	// Value is the number as text.
	Value string
}

// Numbers returns the numeric metrics of a map and of the maps in it.
func Numbers(m *expvar.Map) []Number { return numbers(nil, m) }

// numbers returns the numeric metrics of the map m, to which path leads.
func numbers(path []string, m *expvar.Map) []Number {
	var out []Number
	m.Do(func(kv expvar.KeyValue) {
		here := slices.Concat(path, []string{kv.Key})
		switch v := kv.Value.(type) {
		case *expvar.Map:
			out = append(out, numbers(here, v)...)
		case *expvar.Int, *expvar.Float:
			out = append(out, Number{Name: textName(here), Path: here, Value: v.String()})
		case expvar.Func:
			switch v.Value().(type) {
			case int, int64, uint64, float64:
				out = append(out, Number{Name: textName(here), Path: here, Value: v.String()})
			}
		}
	})
	return out
}

// textName returns the name in the text format of the metric at a path.
func textName(path []string) string {
	return Prefix + strings.ReplaceAll(strings.Join(path, "_"), "-", "_")
}
