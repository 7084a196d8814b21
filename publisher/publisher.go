// Package publisher shows the counters of daemons as metrics.
//
// All daemons of a process stand side by side in one expvar map, each under its
// instance ID.
package publisher

import (
	"expvar"
	"reflect"
	"strings"
	"sync"
	"unicode"
)

// Name is the name of the map in the metrics.
const Name = "bambooweir"

var instances = sync.OnceValue(func() *expvar.Map { return expvar.NewMap(Name) })

// Publish shows the metrics of an instance and replaces those shown before.
func Publish(instance string, metrics *expvar.Map) { instances().Set(instance, metrics) }

// Withdraw ends the showing of an instance.
func Withdraw(instance string) { instances().Delete(instance) }

// Counters returns a map of the exported fields of a struct that are counters
// themselves, or structs of counters. Names are in kebab case. The argument is
// a pointer to the struct.
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

// kebab turns LeasesTaken into leases-taken, and HTTPErrors into http-errors.
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
