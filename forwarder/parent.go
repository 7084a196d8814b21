package forwarder

import "bambooweir.example/bambooweir/messenger"

// minNestedPrefix is the minimum length of a running request's ID for findParent to
// compare it with a prefix of another ID: shorter IDs may match by accident.
const minNestedPrefix = 8

// findParent returns the ID of the request that the target of this instance runs while it makes
// the one with the given ID, or "", and reports whether that run is a retry or belongs to one. It
// recognises nested requests by their IDs, which targets form by appending to the ID of the
// request that they run. A nested request with any other ID is handled as one that is not nested.
func (f *Forwarder) findParent(requestID string) (parent string, isRetry bool) {
	if f.FindRunning == nil {
		return "", false
	}
	for n := len(requestID) - 1; n >= minNestedPrefix; n-- {
		if isRunning, isRetry := f.FindRunning(requestID[:n]); isRunning {
			return requestID[:n], isRetry
		}
	}
	return "", false
}

// inheritPriority gives a nested call the priority of its parent, if that is less urgent, and
// that of the parent's tenant. It is designed for a service that runs calls of its own callers
// and calls that others make while they serve less urgent callers: without it the nested calls,
// of which one caller causes several, take the room of the more urgent callers. They wait
// instead, so that the service that makes them takes fewer requests.
func (f *Forwarder) inheritPriority(call *messenger.Call, parent string) {
	if f.FindPriority == nil || parent == "" {
		return
	}
	priority, tenantPriority := f.FindPriority(parent)
	call.Priority = max(call.Priority, priority)
	if call.TenantPriority == nil {
		call.TenantPriority = tenantPriority
	}
}
