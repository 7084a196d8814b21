package reporter

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// journalFiles is a journal with two rounds of a day, a sweep, plays that Series leaves out,
// and files that are not entries.
var journalFiles = map[string]string{
	"1.json": `{"v":1,"id":"a1","at":["2026-12-04T08:00:00Z","2026-12-04T08:01:00Z"],"cmd":"score","argv":["x.toml"],"site":"x","head":"0123456789","dirty":false,
		"days":[{"G":0.5,"name":"quiet-1","balancers":13,"top":0.9,"served":0.8,"rules":{"GONE":2},"prices":[["machines",7,0.1],["bytes",1,0.3],["none",0,0.0]]},
			{"G":0.4,"name":"fresh-1","balancers":13}]}`,
	"2.json": `{"v":1,"id":"a2","at":["2026-12-04T09:00:00Z","2026-12-04T09:01:00Z"],"cmd":"run","argv":["x.toml","quiet-1"],"site":"x","head":"fedcba9876","dirty":true,
		"days":[{"G":0.75,"name":"quiet-1","balancers":13,"top":0.9,"served":0.95,"rules":{},"prices":[["machines",7,0.2]]}]}`,
	"3.json": `{"v":1,"id":"a3","at":["2026-12-04T10:00:00Z",""],"cmd":"run","argv":["x.toml","quiet-1","--small"],"site":"x","days":[{"G":0.1,"name":"quiet-1"}]}`,
	"4.json": `{"v":1,"id":"a4","at":["2026-12-04T11:00:00Z","2026-12-04T11:01:00Z"],"cmd":"sweep","argv":["x.toml"],"site":"x","days":[],
		"digest":"seen: a\n\nmiddle / busiest or longest, by own machines\n                    30             100   power  at 4883\ndaemon: memory MB     10.0 / 20.0   20.0 / 40.0    0.58  200\nconfig in force, ms   0.00 / 0.00   0.00 / 595    1.48  916\npower: the busiest grows as machines"}`,
	"5.json": `{"v":1,"id":"a5",`,
	"6.json": `{"name":"another file"}`,
	"7.txt":  `not looked at`,
}

func writeJournal(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range journalFiles {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func readJournal(t *testing.T) *Journal {
	t.Helper()
	j, err := Read(writeJournal(t))
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func TestRead(t *testing.T) {
	j := readJournal(t)
	if got := len(j.Plays); got != 4 {
		t.Fatalf("plays: got %d, want 4", got)
	}
	day := j.Plays[0].Days[0]
	if len(day.Prices) != 2 || day.Prices[0] != (Price{"bytes", 0.3}) || day.Broken["GONE"] != 2 {
		t.Errorf("first day: got %+v", day)
	}
	if !j.Plays[2].IsPart || j.Plays[1].IsPart {
		t.Errorf("part: got %v and %v, want only the play with --small", j.Plays[1].IsPart, j.Plays[2].IsPart)
	}
	var skipped []string
	for _, f := range j.Skipped {
		if f.Reason == "" {
			t.Errorf("%s was skipped without a reason", f.Path)
		}
		skipped = append(skipped, filepath.Base(f.Path))
	}
	if got, want := strings.Join(skipped, " "), "5.json 6.json"; got != want {
		t.Errorf("skipped: got %s, want %s", got, want)
	}
}

func TestReadOfAMissingFolderNamesIt(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "nowhere")
	if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("got %v, want an error with %s", err, dir)
	}
}

func TestTable(t *testing.T) {
	var b bytes.Buffer
	if err := readJournal(t).WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"x     quiet-1  13        2       0.500         0.750    0.750   0.900          0.950   fedcba9+  machines 0.200  none\n",
		"SWEEP OF x", "daemon: memory MB", "20 at 30", "40 at 100", "skipped ", "6.json: not an entry",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("got\n%s\nwant it to contain %q", b.String(), want)
		}
	}
}

func TestGrowth(t *testing.T) {
	sweep := readJournal(t).Plays[3]
	if len(sweep.Growth) != 2 {
		t.Fatalf("got %+v, want 2 quantities", sweep.Growth)
	}
	memory := sweep.Growth[0]
	if want := math.Log(2) / math.Log(100.0/30); math.Abs(memory.Power()-want) > 1e-9 {
		t.Errorf("power: got %v, want %v", memory.Power(), want)
	}
	if got := memory.At(1000); math.Abs(got-40*math.Pow(10, memory.Power())) > 1e-9 {
		t.Errorf("at 1000 machines: got %v", got)
	}
	if got := sweep.Growth[1].Power(); got != 0 {
		t.Errorf("power with a value of 0: got %v, want 0", got)
	}
	for _, digest := range []string{"", "middle / busiest", "middle / busiest\n", "middle / busiest\n30 100\nshort  1 / 2\n\nx  a / b c / d"} {
		if got := parseGrowth(digest); len(got) != 0 {
			t.Errorf("%q: got %+v, want none", digest, got)
		}
	}
}

func TestPlots(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "plots")
	paths, err := readJournal(t).WritePlots(dir, Limits{"daemon: memory MB": 256})
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range paths {
		names = append(names, filepath.Base(path))
		if b, err := os.ReadFile(path); err != nil || !bytes.Contains(b, []byte("<svg")) {
			t.Errorf("%s: %v, want an SVG file", path, err)
		}
	}
	if got, want := strings.Join(names, " "), "worth-x.svg prices-x.svg growth-x-daemon-memory-mb.svg"; got != want {
		t.Errorf("plots: got %s, want %s", got, want)
	}
}

// FuzzReadPlay checks that no content of a file does harm.
func FuzzReadPlay(f *testing.F) {
	for _, content := range journalFiles {
		f.Add([]byte(content))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), "x.json")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		play, reason := readPlay(path)
		if (play == nil) != (reason != "") {
			t.Fatalf("got %v with reason %q", play, reason)
		}
		if play == nil {
			return
		}
		j := &Journal{Plays: []Play{*play}}
		if err := j.WriteTable(new(bytes.Buffer)); err != nil {
			t.Error(err)
		}
		if _, err := json.Marshal(j); err != nil {
			t.Error(err)
		}
	})
}
