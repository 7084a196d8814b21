package operator

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/semaphore"
)

const (
	// maxConcurrentRequests bounds the memory and the store calls that
	// operators' requests cost at a time.
	maxConcurrentRequests = 8
	gateWait              = 5 * time.Second
)

// BusyError reports a request that found too many others under way.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many requests of operators are under way" }

// newGate returns a middleware that lets a bounded number of requests in at a
// time. Others wait a little, before their bodies are read.
func newGate() echo.MiddlewareFunc {
	slots := semaphore.NewWeighted(maxConcurrentRequests)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			ctx, cancel := context.WithTimeout(c.Request().Context(), gateWait)
			defer cancel()
			if slots.Acquire(ctx, 1) != nil {
				return fail(c, new(BusyError))
			}
			defer slots.Release(1)
			return next(c)
		}
	}
}
