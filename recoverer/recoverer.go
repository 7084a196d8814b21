// Package recoverer keeps a panic in the handling of one request, message or response
// from ending the process.
package recoverer

import (
	"expvar"
	"runtime/debug"

	"go.uber.org/zap"
)

// Panics counts the panics that Recover has contained in this process.
var Panics expvar.Int

// Recover must be deferred. If the function that deferred it panics, Recover counts
// and logs the panic and calls after, which brings what was being handled to an end;
// log and after may be nil. Recover does not contain a panic in after.
func Recover(log *zap.Logger, task string, after func()) {
	cause := recover()
	if cause == nil {
		return
	}
	Panics.Add(1)
	if log != nil {
		log.Error("panic-contained", zap.String("task", task), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
	}
	if after != nil {
		after()
	}
}
