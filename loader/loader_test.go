package loader_test

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/versioner"
)

const complete = `instance-id = "d1"
failure-domain = "mobile-bay"
caller-address = "127.0.0.1:1"
peer-address = "127.0.0.1:2"
operator-address = "127.0.0.1:3"
store-url = "http://127.0.0.1:4"
`

func TestParseDefaults(t *testing.T) {
	d, err := loader.Parse("d.toml", []byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(d.InstanceID, " ", d.StoreTimeoutMS, " ", d.LogLevel, " ", d.HistoryVersions)
	if want := "d1 2000 info 10000"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	for _, tt := range []struct {
		name, in string
		want     []string
	}{
		{"keys and types", complete + "store-timeout = 5\nlog-level = 3\nhead-bytes = \"6k\"\n", []string{
			`d.toml:7:1: store-timeout: unknown key`,
			`d.toml:8:1: log-level: must be a string, got the number 3`,
			`d.toml:9:1: head-bytes: must be a whole number, got the string "6k"`,
		}},
		{"a type, a value and a missing key", strings.Replace(strings.Replace(complete, `"mobile-bay"`, "7", 1), "instance-id", "instance", 1) + "head-bytes = 1\n", []string{
			`d.toml:1:1: instance: unknown key`,
			`d.toml:1:1: instance-id: is required`,
			`d.toml:2:1: failure-domain: must be a string, got the number 7`,
			`d.toml:7:1: head-bytes: must be from 1024 to 262144, got 1`,
		}},
		{"values", strings.Replace(complete, "127.0.0.1:1", "localhost:1", 1) + "log-level = \"loud\"\nhead-bytes = 1\nbootstrap-token-sha256 = \"x\"\n", []string{
			`d.toml:3:1: caller-address: must be IP:port, got "localhost:1"`,
			`d.toml:7:1: log-level: must be one of debug, info, warn, error, got "loud"`,
			`d.toml:8:1: head-bytes: must be from 1024 to 262144, got 1`,
			`d.toml:9:1: bootstrap-token-sha256: must be 64 lower-case hexadecimal digits, got "x"`,
		}},
		{"missing", "store-url = \"127.0.0.1\"\n", []string{
			`d.toml:1:1: caller-address: is required: where callers`,
			`d.toml:1:1: failure-domain: is required`,
			`d.toml:1:1: instance-id: is required`,
			`d.toml:1:1: operator-address: is required`,
			`d.toml:1:1: peer-address: is required`,
			`d.toml:1:1: store-url: must be a URL as http://IP:port, got "127.0.0.1"`,
		}},
		{"contradictions", strings.Replace(complete, ":2", ":1", 1) + "store-timeout-ms = 10000\n", []string{
			`d.toml:4:1: peer-address: must differ from caller-address, both are 127.0.0.1:1`,
			`d.toml:7:1: store-timeout-ms: must be less than change-timeout-ms, got 10000 and 10000`,
		}},
		{"syntax", complete + "log-level = loud\n", []string{`d.toml:7:13: `}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.Parse("d.toml", []byte(tt.in))
			var invalid *decoder.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an *InvalidError", err)
			}
			got := strings.Split(err.Error(), "\n")
			if len(got) != len(tt.want) {
				t.Fatalf("got %d problems, want %d:\n%s", len(got), len(tt.want), err)
			}
			for i, want := range tt.want {
				if !strings.HasPrefix(got[i], want) {
					t.Errorf("problem %d: got %s, want %s", i, got[i], want)
				}
			}
		})
	}
}

// TestRowsMatchFields checks that every field of the settings has one row with a
// default of the field's type.
func TestRowsMatchFields(t *testing.T) {
	rows := make(map[string]loader.Row)
	for _, row := range loader.Rows() {
		rows[row.Key] = row
	}
	fields := reflect.TypeFor[loader.Daemon]()
	if got, want := len(loader.Rows()), fields.NumField(); got != want || len(rows) != want {
		t.Errorf("rows: got %d with %d keys, want %d, one for each field", got, len(rows), want)
	}
	for i := range fields.NumField() {
		f := fields.Field(i)
		row, ok := rows[f.Tag.Get("toml")]
		switch {
		case !ok:
			t.Errorf("field %s: got no row for key %q, want one", f.Name, f.Tag.Get("toml"))
		case row.Default != nil && reflect.TypeOf(row.Default) != f.Type:
			t.Errorf("default of %s: got a %T, want a %s", row.Key, row.Default, f.Type)
		}
	}
}

// TestSettingsPage compares docs/SETTINGS.md with the code, row by row.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var daemon, shared []string
	for _, row := range loader.Rows() {
		value := "required"
		if row.Default != nil {
			value = fmt.Sprintf("`%#v`", row.Default)
		}
		daemon = append(daemon, fmt.Sprintf("| `%s` | %s | %s |", row.Key, value, row.Doc))
	}
	for _, s := range versioner.Settings() {
		shared = append(shared, fmt.Sprintf("| `%s` | %d | %d to %d | %s |", s.Name, s.Default, s.Min, s.Max, s.Doc))
	}
	compareRows(t, "Settings of a daemon", section(string(page), "## Settings of a daemon"), daemon)
	compareRows(t, "Shared settings", section(string(page), "### Settings that exceptions can depart from"), shared)
}

// section returns the table rows under a heading, without the table's header.
func section(page, heading string) []string {
	_, after, _ := strings.Cut(page, heading+"\n")
	var rows []string
	for line := range strings.Lines(after) {
		if strings.HasPrefix(line, "#") {
			break
		}
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	return rows
}

// compareRows reports the rows in which the page (got) differs from the code (want).
func compareRows(t *testing.T, name string, got, want []string) {
	t.Helper()
	for i := range max(len(got), len(want)) {
		var g, w string
		if i < len(got) {
			g = got[i]
		}
		if i < len(want) {
			w = want[i]
		}
		if g != w {
			t.Errorf("%s, row %d of docs/SETTINGS.md:\ngot  %s\nwant %s", name, i+1, g, w)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{complete, "", "log-level = info", "store-url = [[]]", "[instance-id]\na = 1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := loader.Parse("d.toml", b)
		var invalid *decoder.InvalidError
		if err != nil && (!errors.As(err, &invalid) || len(invalid.Problems) == 0) {
			t.Fatalf("got %v, want an *InvalidError with problems", err)
		}
		if err == nil && (d.InstanceID == "" || d.StoreTimeoutMS <= 0) {
			t.Fatalf("got %+v, want an instance id and a store timeout above 0", d)
		}
	})
}
