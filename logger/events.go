package logger

// Event describes one event of the log.
type Event struct {
	Name string
	// Doc says when the line is written.
	Doc string
	// Keys lists what it holds beside time, level, event, instance, and dropped.
	Keys string
}

// callKeys are those of the lines that tell how a call ended.
const callKeys = "request-id, route, service, class, priority, nested, version, outcome, cause, status, retry-after-ms, objective-ms, waited-before-ms, limit-ms, took-ms, attempts, sent, target"

// Events returns every event of a daemon, by what it is about.
func Events() []Event {
	return []Event{
		{"daemon-started", "at the start", "failure-domain, incarnation"},
		{"changes-unprotected", "at the start, while anyone may make changes", "setting"},
		{"settings-reloaded", "the settings file changed", "applied, need-restart"},
		{"settings-refused", "the changed settings file is not valid; nothing changes", "file, error"},
		{"settings-unreadable", "the settings file can't be looked at", "error"},
		{"stop-begun", "a planned stop begins", "entered, running, limit"},
		{"stopped", "a planned stop ended, and nothing was cut", ""},
		{"stopped-with-cuts", "a planned stop reached its limit", "entered, running"},
		{"keys-lost", "idempotency keys were not handed over at a stop", "error"},
		{"metrics-unserved", "the metrics address can't be listened on", "error"},

		{"version-in-force", "a configuration came into force", "version, source"},
		{"version-refused", "a configuration was not put in force; the one before stays", "version or revision, error"},
		{"version-unconfirmed", "a fresh daemon serves a version that only peers vouch for", "version"},
		{"store-lost", "the first failed call of a watch", "error, silent"},
		{"store-regained", "the first good call after failures", "failures"},
		{"relay-begun", "this daemon became a relay", "slot"},
		{"relay-ended", "this daemon is no relay any more", "slot"},
		{"parent-joined", "this daemon joined the tree below another", "parent, depth"},
		{"parent-lost", "the session with the parent ended", "parent, by-choice"},

		{"target-state", "the target beside this daemon changed its state, or was lost or found", "run-id, epoch, service, state, address, slots, sequence, vanished"},
		{"target-marked-gone", "a daemon did not come back in time; its target is taken as gone", "target, service"},
		{"target-ejected", "a target gets no calls for a while", "target, service, failures, failing, length"},
		{"target-readmitted", "an ejected target answered and gets calls again", "target, service"},
		{"daemon-unreachable", "no link to a target's daemon could be opened", "target, address, error"},
		{"daemon-regained", "the first link after that", "target"},
		{"link-silent", "a link with calls in flight was given up", "target, silent"},

		{"request-refused", "a request was refused before it was routed to a target", "request-id, cause, status, host, method, version"},
		{"call-refused", "a caller was told that its call has not run", callKeys},
		{"call-unknown", "a caller was told that its call may have run", callKeys},
		{"call-failed", "a target's server error was passed on", callKeys},
		{"call-late", "an answer missed its latency objective", callKeys},
		{"caller-left", "a caller left before its answer", callKeys},
		{"attempt-failed", "an attempt brought no answer; another may follow", "request-id, target, target-sequence, placed, outcome, cause, sent, target-running, target-waiting, target-slots, wait-ms"},
		{"call-reattached", "a link was lost, and its call is asked for over another", "request-id, target"},
		{"target-shed", "the target refused a call unrun", "request-id, status"},
		{"other-run-answered", "another run of a target answered at the address, and did not run the call", "request-id"},
		{"target-gave-no-answer", "the target got a call and gave no whole answer", "request-id, cause, error"},
	}
}
