package daemon

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/platform"
	"bambooweir.example/bambooweir/publisher"
)

var update = flag.Bool("update", false, "rewrite docs/METRICS.md")

const metricsPage = "../docs/METRICS.md"

// newMetricsDaemon returns a daemon that is not running and publishes every
// metric, including those of the platform's store.
func newMetricsDaemon(t *testing.T) *Daemon {
	t.Helper()
	cfg := loader.Defaults()
	cfg.InstanceID, cfg.FailureDomain = "metrics", "mobile-bay"
	d := New(cfg, new(fakestorer.Store), zap.NewNop())
	d.metrics.Set("store", publisher.Counters(&new(platform.Store).Counters))
	return d
}

// fieldDocs returns the comments of the fields of the counter structs in a
// package, keyed by the field's name in lower case.
func fieldDocs(t *testing.T, dir string) map[string]string {
	t.Helper()
	docs := make(map[string]string)
	paths, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			fields, ok := s.Type.(*ast.StructType)
			if !ok || !strings.HasSuffix(s.Name.Name, "Counters") && s.Name.Name != "CrossedBytes" && s.Name.Name != "Traffic" {
				return true
			}
			for _, f := range fields.Fields.List {
				for _, name := range f.Names {
					if text := strings.Join(strings.Fields(f.Doc.Text()), " "); text != "" {
						docs[strings.ToLower(name.Name)] = text
					}
				}
			}
			return true
		})
	}
	return docs
}

// daemonMetricDocs describes the metrics that are not counters of one package.
var daemonMetricDocs = map[string]string{
	"bambooweir_version":              "Version of the configuration in force, 0 for none.",
	"bambooweir_daemons":              "Daemons of the fleet that are not gone, as far as this daemon knows.",
	"bambooweir_panics":               "Panics that ended the handling of one request, message or response, over all daemons of the process.",
	"bambooweir_calls_running":        "Calls that this daemon's target is running.",
	"bambooweir_calls_waiting":        "Calls that wait for a slot at the target.",
	"bambooweir_load_spread_percent":  "Standard deviation of the mean loads that the targets of a service reported, in percent of their mean; of the service in which it is largest.",
	"bambooweir_slots":                "Number of calls that the target runs at a time.",
	"bambooweir_log_lines_lost":       "Log lines that were not written: the reader was too slow, or the log could not be written.",
	"bambooweir_target_rate_limit":    "Calls per second that the target takes from all daemons, as it says on its answers; -1 if it names no limit.",
	"bambooweir_requests_quarantined": "Requests that are not run at present, because targets ended each time that they ran them.",
	"bambooweir_requests_in_flight":   "Callers' requests that are not yet answered.",
}

// packageByMapName maps the name of a counter map to its package, where the two
// differ.
var packageByMapName = map[string]string{"store": "platform", "key-table": "fencer", "quarantine": "quarantiner", "rollouts": "canarier"}

// metricsRows returns the rows of the table in docs/METRICS.md.
func metricsRows(t *testing.T) []string {
	t.Helper()
	cache := make(map[string]map[string]string)
	var rows []string
	for _, n := range publisher.Numbers(newMetricsDaemon(t).metrics) {
		doc := daemonMetricDocs[n.Name]
		if len(n.Path) > 1 {
			dir := n.Path[0]
			if other, ok := packageByMapName[dir]; ok {
				dir = other
			}
			if cache[dir] == nil {
				cache[dir] = fieldDocs(t, dir)
			}
			for _, name := range n.Path[1:] {
				if text := cache[dir][strings.ReplaceAll(name, "-", "")]; text != "" {
					doc = text
				}
			}
		}
		unit := "count"
		if strings.Contains(n.Name, "bytes") || strings.Contains(n.Name, "_crossed_") {
			unit = "bytes"
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", n.Name, unit, doc))
	}
	return append(rows, "| `bambooweir_request_seconds` | seconds | Histogram of the time from a request's first byte to its answer, by `class`, `outcome` and `cause`; a request that is refused before it is routed has no class and counts 0. |")
}

// TestMetricsPage compares docs/METRICS.md with the code, row by row.
func TestMetricsPage(t *testing.T) {
	rows := metricsRows(t)
	b, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(b), "| `")
	want := head + strings.Join(rows, "\n") + "\n"
	if *update {
		if err := os.WriteFile(metricsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if got := string(b); got != want && !*update {
		t.Error("docs/METRICS.md differs from the code: run go test ./daemon -run TestMetricsPage -update")
	}
	for _, row := range rows {
		if strings.HasSuffix(row, "|  |") {
			t.Errorf("metric without a description: %s", row)
		}
	}
}

var textSyntax = regexp.MustCompile(`^[a-z_]+(\{[^}]*\})? [0-9.e+-]+$`)

func TestMetricsTextFormat(t *testing.T) {
	d := newMetricsDaemon(t)
	d.observeRequest("lookup", "answered", "", 120*time.Millisecond)
	w := httptest.NewRecorder()
	d.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metricsPath, nil))
	body := w.Body.String()
	for line := range strings.Lines(body) {
		if line = strings.TrimSpace(line); !textSyntax.MatchString(line) {
			t.Errorf("got line %q, want a name and a number", line)
		}
	}
	for _, want := range []string{"bambooweir_version 0\n", `bambooweir_request_seconds_count{class="lookup"`} {
		if !strings.Contains(body, want) {
			t.Errorf("metrics: %q is missing", want)
		}
	}
}

// TestReloadAppliesOnlyReloadableSettings changes every setting: Reload must apply
// the reloadable ones and keep the others.
func TestReloadAppliesOnlyReloadableSettings(t *testing.T) {
	d := newMetricsDaemon(t)
	next := *d.cfg.Load()
	v := reflect.ValueOf(&next).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString(f.String() + "x")
		case reflect.Bool:
			f.SetBool(!f.Bool())
		case reflect.Float64:
			f.SetFloat(f.Float() + 1)
		default:
			f.SetInt(f.Int() + 1)
		}
	}
	d.Reload(&next)
	merged := d.cfg.Load()
	for _, key := range loader.Changed(merged, &next) {
		if reloadableSettings[key] {
			t.Errorf("setting %s: got the old value, want the new one", key)
		}
	}
	if merged.InstanceID != "metrics" || merged.TargetService != "x" {
		t.Errorf("got instance %q and service %q, want the old instance and the new service", merged.InstanceID, merged.TargetService)
	}
}
