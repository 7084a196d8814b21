package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/scripter"
)

var (
	fence   = regexp.MustCompile("(?s)```sh\n(.*?)```")
	curl    = regexp.MustCompile(`^curl -s http://\S+:(\d+)(/\S*)\s+# (\d+),? ?(\S*?):?( .*)?$`)
	addr    = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)
	counter = regexp.MustCompile("`([a-z]+)\\.([a-z-]+)`")
	docPage = regexp.MustCompile(`\]\(([A-Za-z/]+\.md)\)`)
)

// TestReadmeTour runs the commands of the README's tour as a script, on
// addresses of this process's own.
func TestReadmeTour(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	local := addressBook{}
	var script strings.Builder
	for _, block := range fence.FindAllStringSubmatch(string(readme), -1) {
		for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
			script.WriteString(translate(local.replace(line)) + "\n")
		}
	}
	files, err := filepath.Glob("examples/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&script, "-- %s --\n%s", file, local.replace(string(b)))
	}
	runScript(t, script.String())
}

// addressBook gives each address of the README a free one.
type addressBook map[string]string

func (a addressBook) replace(text string) string {
	return addr.ReplaceAllStringFunc(text, func(from string) string {
		if a[from] == "" {
			a[from] = launcher.NewAddress()
		}
		return a[from]
	})
}

// translate turns a line of the shell into one of a script.
func translate(line string) string {
	if m := curl.FindStringSubmatch(line); m != nil {
		url := strings.Fields(line)[2]
		return fmt.Sprintf("wait-url GET %s '(?s)%s.*%s'", url, m[3], m[4])
	}
	if strings.HasPrefix(line, "go build") || strings.HasPrefix(line, "kill") {
		return "# " + line
	}
	line = strings.ReplaceAll(line, `"`, "'")
	return strings.Replace(line, "./bambooweir", "exec bambooweir", 1)
}

// TestOperationsNamesCountersThatExist runs a daemon and looks for each counter
// that the operators' page names.
func TestOperationsNamesCountersThatExist(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	named := counter.FindAllStringSubmatch(string(page), -1)
	if len(named) == 0 {
		t.Fatal("got no counter, want some")
	}
	var script strings.Builder
	script.WriteString("store\ndaemon d1 mobile-bay\n")
	for _, m := range named {
		fmt.Fprintf(&script, "assert-counter d1 %s.%s\n", m[1], m[2])
	}
	runScript(t, script.String())
}

func runScript(t *testing.T, script string) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "script.txtar"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{Dir: dir, Setup: scripter.Setup, Cmds: scripter.Commands()})
}

func TestReadmeNamesPagesThatExist(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	pages := docPage.FindAllStringSubmatch(string(readme), -1)
	if len(pages) == 0 {
		t.Fatal("got no page, want some")
	}
	for _, m := range pages {
		if _, err := os.Stat(m[1]); err != nil {
			t.Errorf("got %v, want the page %s", err, m[1])
		}
	}
}
