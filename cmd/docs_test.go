package cmd

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var flagSyntax = regexp.MustCompile(`[ ` + "`" + `]--([a-z][a-z-]*)`)

// TestPagesNameFlagsThatExist checks that some command has each flag that a page
// of the documentation mentions.
func TestPagesNameFlagsThatExist(t *testing.T) {
	known := map[string]bool{"help": true}
	var visit func(*cobra.Command)
	visit = func(c *cobra.Command) {
		c.Flags().VisitAll(func(f *pflag.Flag) { known[f.Name] = true })
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	visit(newRoot())
	var pages []string
	for _, pattern := range []string{"../*.md", "../docs/*.md", "../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	if len(pages) == 0 {
		t.Fatal("got no documentation page, want at least one")
	}
	for _, page := range pages {
		b, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range flagSyntax.FindAllSubmatch(b, -1) {
			if name := string(m[1]); !known[name] {
				t.Errorf("%s: mentions flag --%s, which no command has", page, name)
			}
		}
	}
}
