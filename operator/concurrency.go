package operator

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/semaphore"
)

const (
	// maxConcurrentRequests bounds the memory and the concurrent store calls of
	// operators' requests.
	maxConcurrentRequests = 8
	// maxAdmissionWait is how long a request over that limit waits for a slot.
	maxAdmissionWait = 5 * time.Second
)

// BusyError reports a request that got no slot within maxAdmissionWait because
// too many others were in progress.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many operator requests are in progress" }

// newConcurrencyLimit returns a middleware that runs at most maxConcurrentRequests
// requests at a time. Further requests wait for up to maxAdmissionWait before their
// bodies are read, and then fail with a *BusyError.
func newConcurrencyLimit() echo.MiddlewareFunc {
	slots := semaphore.NewWeighted(maxConcurrentRequests)
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			ctx, cancel := context.WithTimeout(c.Request().Context(), maxAdmissionWait)
			defer cancel()
			if slots.Acquire(ctx, 1) != nil {
				return writeProblem(c, new(BusyError))
			}
			defer slots.Release(1)
			return next(c)
		}
	}
}
