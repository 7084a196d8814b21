package forwarder

import (
	"maps"
	"sync"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/tracker"
)

const (
	// noticeLifetime is how long a notice is kept without an answer that repeats it.
	noticeLifetime = 10 * time.Minute
	// sweptNotices is the number of notices from which a new one makes the table drop those
	// that have expired.
	sweptNotices = 64
)

// noticeTable holds what targets said about themselves on the answers to this daemon's
// calls, as far as it restricts calls. Calls repeat it to the target's daemon, which may
// have been restarted meanwhile. The zero value is empty.
type noticeTable struct {
	mu sync.Mutex
	// byInstance maps the ID of an instance to the notice of its target.
	byInstance map[string]knownNotice
}

// knownNotice is a notice and when an answer last repeated it.
type knownNotice struct {
	messenger.TargetNotice
	at time.Time
}

// find returns the notice of an instance's target, or nil.
func (t *noticeTable) find(instanceID string) *messenger.TargetNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.byInstance[instanceID]
	if !ok || time.Since(known.at) > noticeLifetime {
		return nil
	}
	return &known.TargetNotice
}

// isLeaving reports whether the run that the record names has said that it is leaving.
func (t *noticeTable) isLeaving(r tracker.Record) bool {
	notice := t.find(r.InstanceID)
	return notice != nil && notice.IsLeaving && notice.Run.Epoch != 0 && notice.Run.Epoch == r.Epoch
}

// observe records the notice of an answer from an instance. An answer of the target without
// a notice ends the former one; a refusal by its daemon does not, since the daemon may have
// been restarted and know nothing.
func (t *noticeTable) observe(instanceID string, answer *messenger.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if answer.Notice.IsRestricting() {
		if t.byInstance == nil {
			t.byInstance = make(map[string]knownNotice)
		}
		if len(t.byInstance) >= sweptNotices {
			maps.DeleteFunc(t.byInstance, func(_ string, k knownNotice) bool { return now.Sub(k.at) > noticeLifetime })
		}
		t.byInstance[instanceID] = knownNotice{TargetNotice: *answer.Notice, at: now}
		return
	}
	if answer.Outcome == messenger.OutcomeAnswered {
		delete(t.byInstance, instanceID)
	}
}
