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
	shellBlock      = regexp.MustCompile("(?s)```sh\n(.*?)```")
	curlLine        = regexp.MustCompile(`^curl -s http://\S+:(\d+)(/\S*)\s+# (\d+),? ?(\S*?):?( .*)?$`)
	loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)
	counterName     = regexp.MustCompile("`([a-z]+)\\.([a-z-]+)`")
	pageLink        = regexp.MustCompile(`\]\(([A-Za-z/]+\.md)\)`)
)

// TestReadmeTour runs the shell commands of the README as a script, so that a
// command or output that no longer matches the program fails here. The addresses
// are replaced by free ones, so that runs can share a machine.
func TestReadmeTour(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	addresses := addressBook{}
	var script strings.Builder
	for _, block := range shellBlock.FindAllStringSubmatch(string(readme), -1) {
		for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
			script.WriteString(translate(addresses.replace(line)) + "\n")
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
		fmt.Fprintf(&script, "-- %s --\n%s", file, addresses.replace(string(b)))
	}
	runScript(t, script.String())
}

// addressBook maps each loopback address in the README to a free one.
type addressBook map[string]string

// replace returns the text with its loopback addresses replaced.
func (a addressBook) replace(text string) string {
	return loopbackAddress.ReplaceAllStringFunc(text, func(from string) string {
		if a[from] == "" {
			a[from] = launcher.NewAddress()
		}
		return a[from]
	})
}

// translate translates a line of shell into a line of a testscript. A curl
// command becomes a wait for the expected response; builds and kills become
// comments.
func translate(line string) string {
	if m := curlLine.FindStringSubmatch(line); m != nil {
		url := strings.Fields(line)[2]
		return fmt.Sprintf("wait-url GET %s '(?s)%s.*%s'", url, m[3], m[4])
	}
	if strings.HasPrefix(line, "go build") || strings.HasPrefix(line, "kill") {
		return "# " + line
	}
	line = strings.ReplaceAll(line, `"`, "'")
	return strings.Replace(line, "./bambooweir", "exec bambooweir", 1)
}

// TestOperationsNamesCountersThatExist fails if docs/OPERATIONS.md names a counter
// that a running daemon does not have.
func TestOperationsNamesCountersThatExist(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	named := counterName.FindAllStringSubmatch(string(page), -1)
	if len(named) == 0 {
		t.Fatal("docs/OPERATIONS.md: got no counter names, want some")
	}
	var script strings.Builder
	script.WriteString("store\ndaemon d1 mobile-bay\n")
	for _, m := range named {
		fmt.Fprintf(&script, "assert-counter d1 %s.%s\n", m[1], m[2])
	}
	runScript(t, script.String())
}

// runScript runs one testscript with the commands of package scripter.
func runScript(t *testing.T, script string) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "script.txtar"), []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{Dir: dir, Setup: scripter.Setup, Cmds: scripter.Commands()})
}

// TestReadmeNamesPagesThatExist fails if the README links to a page that does not
// exist.
func TestReadmeNamesPagesThatExist(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	pages := pageLink.FindAllStringSubmatch(string(readme), -1)
	if len(pages) == 0 {
		t.Fatal("README.md: got no links to pages, want some")
	}
	for _, m := range pages {
		if _, err := os.Stat(m[1]); err != nil {
			t.Errorf("linked page: got %v, want %s to exist", err, m[1])
		}
	}
}
