// Package publisher publishes the counters of daemons as metrics, by expvar and in
// the Prometheus text format.
//
// One expvar map holds the metrics of all daemons of a process, each daemon's under
// its instance ID.
package publisher

import (
	"expvar"
	"reflect"
	"strings"
	"sync"
	"unicode"
)

// Name is the name of the expvar variable that holds the metrics of all daemons.
const Name = "bambooweir"

// instances returns the map of all daemons' metrics, which its first call publishes.
var instances = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(Name) })

// Publish publishes the metrics of an instance in place of those published before.
func Publish(instance string, metrics *expvar.Map) { instances().Set(instance, metrics) }

// Remove removes the metrics of an instance.
func Remove(instance string) { instances().Delete(instance) }

// Counters returns a map of the counters in the struct that v points to: its exported
// fields that are expvar variables, and a map for each field that is a struct of such
// fields. Names are the fields' names in kebab case.
func Counters(v any) *expvar.Map {
	m := new(expvar.Map).Init()
	value := reflect.ValueOf(v).Elem()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		addr := value.Field(i).Addr().Interface()
		if counter, ok := addr.(expvar.Var); ok {
			m.Set(kebab(field.Name), counter)
		} else if field.Type.Kind() == reflect.Struct {
			m.Set(kebab(field.Name), Counters(addr))
		}
	}
	return m
}

// kebab returns a field name in kebab case: LeasesTaken becomes leases-taken, and
// HTTPErrors http-errors.
func kebab(name string) string {
	var b strings.Builder
	runes := []rune(name)
	for i, r := range runes {
		startsWord := unicode.IsUpper(r) && i > 0 &&
			(unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if startsWord {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
