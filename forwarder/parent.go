package forwarder

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

// isOfLessUrgent reports whether a nested call on a route of the given priority is made for a
// request that is less urgent.
func (f *Forwarder) isOfLessUrgent(parent string, priority int) bool {
	return f.FindPriority != nil && parent != "" && f.FindPriority(parent) > priority
}
