package executor

import (
	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/retrier"
)

// runningRequest counts the runs of one request at the target. More than one means
// that the request was sent to the target again.
type runningRequest struct {
	runs int
	// isRetry is set if one of the runs is a retry or belongs to one.
	isRetry bool
}

// FindRunning reports whether the target is running the request with an ID, and
// whether that run is a retry or belongs to one.
func (x *Executor) FindRunning(requestID string) (isRunning, isRetry bool) {
	x.requestsMu.Lock()
	defer x.requestsMu.Unlock()
	r := x.requests[requestID]
	return r.runs > 0, r.isRetry
}

// trackRequest records that the target is running a call's request, until the
// returned function is called.
func (x *Executor) trackRequest(call *messenger.Call) (done func()) {
	id := call.RequestID
	if id == "" {
		return func() {}
	}
	x.requestsMu.Lock()
	defer x.requestsMu.Unlock()
	if x.requests == nil {
		x.requests = make(map[string]runningRequest)
	}
	r := x.requests[id]
	x.requests[id] = runningRequest{runs: r.runs + 1, isRetry: r.isRetry || isRetry(call)}
	return func() {
		x.requestsMu.Lock()
		defer x.requestsMu.Unlock()
		r := x.requests[id]
		if r.runs--; r.runs <= 0 {
			delete(x.requests, id)
			return
		}
		x.requests[id] = r
	}
}

// isRetry reports whether the call is marked as a retry or as belonging to one.
func isRetry(call *messenger.Call) bool {
	for _, h := range call.Headers {
		if h.Name == retrier.AttemptHeader {
			return true
		}
	}
	return false
}
