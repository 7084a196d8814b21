package logger

// Event describes one kind of event in the log.
type Event struct {
	Name string
	// Doc says when the event's line is written.
	Doc string
	// Keys lists the line's keys other than time, level, event, instance and dropped.
	Keys string
}

// callEndKeys are the keys of the events that report how a call ended.
const callEndKeys = "request-id, route, service, class, priority, nested, tenant, version, outcome, cause, status, retry-after-ms, objective-ms, waited-before-ms, limit-ms, took-ms, attempts, sent, target"

// Events returns every event of a daemon, grouped by subject, in the order of
// docs/LOGS.md.
func Events() []Event {
	return []Event{
		{"daemon-started", "at the start", "failure-domain, incarnation"},
		{"changes-unprotected", "at the start, if no bootstrap token is set: anyone may make changes until the first partner has a token", "setting"},
		{"settings-reloaded", "the settings file changed", "applied, need-restart"},
		{"settings-refused", "the changed settings file is not valid; nothing changes", "file, error"},
		{"settings-unreadable", "the settings file can't be checked for changes", "error"},
		{"stop-begun", "a planned stop begins", "entered, running, limit"},
		{"stopped", "a planned stop ended, and no call was cut off", ""},
		{"stopped-with-cuts", "a planned stop reached its time limit", "entered, running"},
		{"keys-lost", "idempotency keys were not handed over at a stop", "error"},
		{"metrics-unserved", "the metrics address can't be listened on", "error"},

		{"version-in-force", "a configuration came into force", "version, source"},
		{"version-refused", "a configuration was not put in force; the one before stays", "version or revision, error"},
		{"version-unconfirmed", "a newly started daemon puts a version in force that it has from peers, without a confirmation from the store", "version"},
		{"watch-begun", "this daemon watches the store for new versions: small-fleet if all daemons do, relay if it does for its failure domain, silent-source if those from which versions come are silent", "reason"},
		{"watch-ended", "this daemon leaves watching the store to others", ""},
		{"store-lost", "the first failed call of a watch", "error, silent"},
		{"store-regained", "the first successful call after failures", "failures"},
		{"store-restored", "the store came back from an older copy of its data; what was written there since is gone", "era, former-era"},
		{"head-not-restored", "a version that the restored store had lost could not be written there; another daemon or the next change does it", "error"},
		{"relay-begun", "this daemon became a relay", "slot"},
		{"relay-ended", "this daemon is no longer a relay", "slot"},
		{"source-silent", "the parent says that it reaches neither the store nor a daemon that may", "parent"},
		{"parent-joined", "this daemon joined the tree below another", "parent, depth"},
		{"parent-lost", "the session with the parent ended", "parent, by-choice, silent"},

		{"announcement-held", "neither the store nor a peer has said whether the run is leaving; the target gets calls once one of them has", "run-id, epoch"},
		{"departure-recalled", "this daemon read from the store that a run of its target is leaving or has left; the run gets no new calls", "epoch"},
		{"target-state", "this daemon's target changed its state, disappeared or came back", "run-id, epoch, service, version, state, address, slots, sequence, vanished"},
		{"target-marked-gone", "a daemon did not come back in time; its target is marked as gone", "target, service"},
		{"target-ejected", "a target gets no calls for a while", "target, service, failures, failing, length"},
		{"target-readmitted", "an ejected target answered and gets calls again", "target, service"},
		{"daemon-unreachable", "no link to a target's daemon could be opened", "target, address, error"},
		{"daemon-regained", "a link to a target's daemon was opened, the first after daemon-unreachable", "target"},
		{"link-silent", "a link with calls in flight was closed because nothing arrived on it", "target, silent"},

		{"quota-home-taken-over", "this daemon became the home of a tenant, which keeps the tenant's quota; from is the home before, replied whether that stopped, level the calls that may be admitted at once", "tenant, from, replied, level"},
		{"quota-home-gave-way", "this daemon is no longer the home of a tenant, because it met another home of higher rank, to", "tenant, to"},
		{"quota-home-unreachable", "no home of a tenant replies, so this daemon admits calls of the tenant from its own share only", "tenant, own-rate-per-s"},
		{"request-refused", "a request was refused before it was routed to a target", "request-id, cause, status, host, method, tenant, version"},
		{"call-refused", "the response to a caller says that its call has not run", callEndKeys},
		{"call-unknown", "the response to a caller says that its call may have run", callEndKeys},
		{"call-failed", "a target's server error was returned to the caller", callEndKeys},
		{"call-late", "an answer missed its latency objective", callEndKeys},
		{"caller-left", "a caller disconnected before its answer", callEndKeys},
		{"attempt-failed", "the target did not answer an attempt; another attempt may follow", "request-id, target, target-sequence, placed, outcome, cause, sent, target-running, target-waiting, target-slots, wait-ms"},
		{"call-reattached", "a link was lost, and the answer to its call is requested over another link", "request-id, target"},
		{"target-shed", "the target refused a call without running it; carried is the number of requests that the connection had carried before, took the time from the request to the refusal", "request-id, attempt, status, took, carried"},
		{"other-run-answered", "another run of the target answered at its address, and did not run the call", "request-id, attempt, status, took, carried"},
		{"response-discarded", "a response of the target belongs to another request than the pending one, whose ID is request-id, and is discarded", "request-id, response-id, status, carried"},
		{"panic-contained", "handling one request, message or response failed; the daemon goes on, the call's outcome is unknown", "task, cause, stack"},
		{"target-notice", "the target names another rate limit on its answers, or none any more, or says that it is leaving; source is the target itself, or a daemon that called it before this one was restarted", "run-id, epoch, source, limited, calls-per-second, leaving, sent-limited"},
		{"target-notice-malformed", "an answer of the target has a rate limit that is not a number of calls per second; the former one holds", "run-id, error"},
		{"target-gave-no-answer", "the target received a call, but returned no complete answer; the digest is the same for all repeats of a request by one partner", "request-id, cause, request-digest, ran, error"},
		{"request-quarantined", "targets ended each time that they ran the request, which is not run from now on; learned says that another daemon found it", "request-digest, service, partner, crashes, for, learned"},
		{"record-malformed", "a peer sent a membership record with a field out of bounds; the record is ignored, the others hold", "peer, error"},
		{"slot-malformed", "a relay slot in the store holds no address; it counts as vacant", "slot"},
		{"roster-malformed", "the store's roster of a failure domain can't be read; a relay replaces it", "key, error"},
		{"quarantine-malformed", "the store's record of quarantined requests can't be read; the next one replaces it", "error"},
		{"request-cleared", "a target has run the request to its end, after others had ended while they ran it", "request-digest, service, crashes"},
		{"target-crashed", "a run of the target ended, without having said that it leaves, while it was running calls", "run-id, epoch, interrupted, request-digests"},

		{"rollout-leader-begun", "this daemon decides the roll-outs from now on", "term"},
		{"rollout-leader-ended", "this daemon no longer decides the roll-outs, because none is left, or it lost the leader's key", ""},
		{"rollout-begun", "the leader took up an order; elapsed is the time since the order was first seen", "service, version, duration, stage, elapsed"},
		{"rollout-stage", "the leader began another stage; the answers are those that it knows of", "service, version, stage, elapsed, new-targets, old-targets, answers, failures, old-answers"},
		{"rollout-halted", "the leader found that the new version is to get no more calls, and why", "service, version, reason, route, elapsed, answers, failures, old-answers"},
		{"rollout-ended", "an order ended; the store holds its state", "service, version, state, reason, elapsed"},
		{"rollout-directive", "a daemon learned of another stage or state of a roll-out", "service, version, state, stage, share, canaries, reason"},
		{"rollout-malformed", "a state of a roll-out in the store can't be read or written", "key, error"},
	}
}
