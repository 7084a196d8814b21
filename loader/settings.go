package loader

import (
	"fmt"
	"reflect"

	"bambooweir.example/bambooweir/decoder"
)

const (
	minuteMS = 60_000
	hourMS   = 60 * minuteMS
)

// Row describes one setting.
type Row struct {
	Key string
	// Default has the type of the field; nil means that the setting is required.
	Default any
	// Doc states the meaning and the unit.
	Doc string

	// check returns what a value must be, and whether value is that.
	check func(value any) (want string, ok bool)
}

// Rows returns every setting of a daemon in the order of docs/SETTINGS.md.
func Rows() []Row {
	return []Row{
		{Key: "instance-id", Doc: "name of this daemon; no two daemons may have the same", check: identifier},
		{Key: "failure-domain", Doc: "failure domain of this instance", check: kebab},
		{Key: "caller-address", Doc: "where callers reach this daemon, as IP:port", check: address},
		{Key: "peer-address", Doc: "where other daemons reach this daemon, as IP:port", check: address},
		{Key: "peer-listen-address", Default: "", Doc: "where this daemon listens for links, as IP:port, if not on peer-address; empty means peer-address", check: addressOrEmpty},
		{Key: "operator-address", Doc: "where operators and the target reach this daemon, as IP:port", check: address},
		{Key: "store-url", Doc: "the platform's key-value service, as http://IP:port", check: httpURL},
		{Key: "store-timeout-ms", Default: 2000, Doc: "longest time that a call to the platform's key-value service may take, in milliseconds; a watch may take its wait time in addition", check: intRange(1, minuteMS)},
		{Key: "log-level", Default: "info", Doc: "lowest level that is logged: debug, info, warn or error", check: oneOf("debug", "info", "warn", "error")},
		{Key: "bootstrap-token-sha256", Default: "", Doc: "SHA-256, in hexadecimal, of the token that changes need until the first partner has a token; empty means that they need none", check: sha256OrEmpty},
		{Key: "change-timeout-ms", Default: 10_000, Doc: "longest time that the acceptance of a change may take, in milliseconds", check: intRange(100, 10*minuteMS)},
		{Key: "head-bytes", Default: 2048, Doc: "bytes of recent changes that the head holds; the newest change always stays", check: intRange(1024, 262_144)},
		{Key: "history-versions", Default: 10_000, Doc: "versions that the audit trail holds", check: intRange(100, 1_000_000)},
		{Key: "spread-mode", Default: "tree", Doc: "how versions reach this daemon: tree, through other daemons; watch or poll, directly from the store; watch and poll are for comparison measurements and distribute no membership records", check: oneOf("tree", "watch", "poll")},
		{Key: "spread-fanout", Default: 16, Doc: "largest number of daemons to which one daemon sends versions", check: intRange(2, 64)},
		{Key: "spread-coalesce-ms", Default: 25, Doc: "shortest time between two pushes on one session, in milliseconds", check: intRange(1, minuteMS)},
		{Key: "spread-heartbeat-ms", Default: 2000, Doc: "time between two heartbeats of a session, in milliseconds; a session on which nothing arrives for three of them is closed", check: intRange(50, minuteMS)},
		{Key: "spread-poll-ms", Default: 5000, Doc: "time between two reads of the head in spread-mode poll, in milliseconds", check: intRange(50, hourMS)},
		{Key: "relay-lease-ms", Default: 6000, Doc: "time after which a relay's lease expires unless it is renewed, in milliseconds", check: intRange(300, minuteMS)},
		{Key: "freshness-ms", Default: 10_000, Doc: "greatest age of the store's confirmation of a version at which a newly started daemon puts that version in force, in milliseconds", check: intRange(100, 10*minuteMS)},
		{Key: "peer-seeds", Default: "", Doc: "peer addresses to ask when the store cannot be reached, as IP:port, separated by commas", check: addressesOrEmpty},
		{Key: "platform", Default: false, Doc: "whether the configuration, the heartbeats of the target and the header fields of calls have the platform's formats", check: boolean},
		{Key: "ready-address", Default: "", Doc: "where the platform asks whether callers may be sent to this daemon, as IP:port; empty means nowhere", check: addressOrEmpty},
		{Key: "metrics-address", Default: "", Doc: "where metrics are served as text under /metrics, as IP:port; empty means nowhere", check: addressOrEmpty},
		{Key: "target-service", Default: "", Doc: "service of this daemon's target, sent to other targets as the calling service; empty sends none", check: anyString},
		{Key: "target-heartbeat-ms", Default: 0, Doc: "time between two announcements of the target, in milliseconds; after three missed announcements the target counts as gone; 0 means that it need not repeat its announcement", check: intRange(0, hourMS)},
		{Key: "stop-limit-s", Default: 0.0, Doc: "longest time that a planned stop may take, in seconds; 0 means the shared setting drain-ms", check: floatRange(0, 3600)},
		{Key: "retry-budget-ratio", Default: 0.0, Doc: "attempts beyond the first that all daemons together may send to one service, as a share of the calls for it; 0 means that only the shared setting retry-budget-percent applies", check: floatRange(0, 1)},
		{Key: "spill-ratio", Default: 0.0, Doc: "calls that may leave the failure domain for each that another one accepted in the last seconds; the rest is refused at once while no target is near that could take it; 0 means no bound", check: floatRange(0, 100)},
		{Key: "near-bytes", Default: 0, Doc: "size of the bodies of a call, in bytes, from which it leaves the failure domain only if it is expected to miss its objective there or no target there takes it; 0 means that lack of room is reason enough", check: intRange(0, 1<<30)},
		{Key: "retry-budget-window-s", Default: 10.0, Doc: "time over which retry-budget-ratio holds, in seconds", check: floatRange(0.1, 3600)},
		{Key: "retry-budget-allowance", Default: 0.0, Doc: "attempts beyond the first that all daemons together may send to one service in that time in addition to the share", check: floatRange(0, 1_000_000)},
		{Key: "quota-window-s", Default: 5.0, Doc: "time over which the quotas of tenants hold, in seconds", check: floatRange(0.1, 3600)},
		{Key: "quota-over-ratio", Default: 0.1, Doc: "share of a tenant's quota by which the calls of all daemons together may exceed it in that time", check: floatRange(0, 1)},
		{Key: "quota-slack", Default: 0.0, Doc: "calls by which they may exceed it in that time in addition to the share", check: floatRange(0, 1_000_000)},
		{Key: "exposure-share", Default: 0.0, Doc: "share of a service's calls that a new version may get before a roll-out has shown it to be good; 0 means that the daemon follows no roll-outs", check: floatRange(0, 1)},
		{Key: "exposure-allowance", Default: 0.0, Doc: "calls that a new version may get in addition to the share, from all daemons together; with 0 each daemon sends none before its share of its own calls is a whole one", check: floatRange(0, 1_000_000)},
		{Key: "rollback-ms", Default: 5000, Doc: "time after which a new version that was found to be bad gets no more calls, in milliseconds", check: intRange(1000, hourMS)},
		{Key: "target-head-bytes", Default: 65_536, Doc: "largest head of a response of the target, in bytes; a longer one ends its connection, and the call's outcome is unknown", check: intRange(1024, 1<<20)},
		{Key: "target-buffer-bytes", Default: 32 << 20, Doc: "total size of the target's response bodies that may be in memory, in bytes, or an eighth of memory-mb if that is less; a response beyond it ends its connection, and the call's outcome is unknown", check: intRange(1<<20, 1<<30)},
		{Key: "memory-mb", Default: 0.0, Doc: "memory of the process in MB, which the garbage collector keeps well below; 0 means no bound", check: floatRange(0, 1<<20)},
		{Key: "link-mbps", Default: 0.0, Doc: "bandwidth of this instance's link in Mbit/s; daemons with narrow links are relays only where there is no other; 0 means that the link is not narrow", check: floatRange(0, 1_000_000)},
	}
}

// Defaults returns the settings of an empty file.
func Defaults() *Daemon {
	d := new(Daemon)
	for _, row := range Rows() {
		if row.Default != nil {
			field(d, row.Key).Set(reflect.ValueOf(row.Default))
		}
	}
	return d
}

// field returns the field of d whose toml tag is key.
func field(d *Daemon, key string) reflect.Value {
	v := reflect.ValueOf(d).Elem()
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") == key {
			return v.Field(i)
		}
	}
	panic("loader: no field for setting " + key)
}

// checkValues adds a problem to f for every value of d that is missing, out of range
// or contradicts another.
func checkValues(f *decoder.File, d *Daemon) {
	for _, row := range Rows() {
		if !f.Has(row.Key) {
			if row.Default == nil {
				f.Add(row.Key, "is required: %s", row.Doc)
			}
			continue
		}
		value := field(d, row.Key).Interface()
		if want, ok := row.check(value); !ok {
			f.Add(row.Key, "must be %s, got %s", want, quote(value))
		}
	}
	checkContradictions(f, d)
}

// checkContradictions adds problems for settings that are each valid but not
// together.
func checkContradictions(f *decoder.File, d *Daemon) {
	addresses := []struct{ key, value string }{
		{"caller-address", d.CallerAddress},
		{"peer-address", d.PeerAddress},
		{"operator-address", d.OperatorAddress},
	}
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if a.value != "" && a.value == b.value {
				f.Add(a.key, "must differ from %s, both are %s", b.key, a.value)
			}
		}
	}
	if d.StoreTimeoutMS >= d.ChangeTimeoutMS {
		f.Add("store-timeout-ms", "must be less than change-timeout-ms, got %d and %d", d.StoreTimeoutMS, d.ChangeTimeoutMS)
	}
}

// quote returns a value as text, a string in quotes.
func quote(value any) string {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%.80q", s)
	}
	return fmt.Sprint(value)
}

// Changed returns the keys of the settings that differ, in the order of Rows.
func Changed(a, b *Daemon) []string {
	var keys []string
	for _, row := range Rows() {
		if !field(a, row.Key).Equal(field(b, row.Key)) {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

// Copy sets the setting key of to to its value in from.
func Copy(to, from *Daemon, key string) { field(to, key).Set(field(from, key)) }
