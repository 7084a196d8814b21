package cmd

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand prints what was built.
type versionCommand struct{ output outputFlag }

// build is what a binary knows of its making.
type build struct {
	Module   string `json:"module"`
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func (v *versionCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:     "version",
		Short:   "Show the version of this program",
		Example: "  bambooweir version --output json",
		Args:    cobra.NoArgs,
		RunE:    v.run,
	}
	v.output.flags(c, outputJSON)
	return c
}

func (v *versionCommand) run(c *cobra.Command, _ []string) error {
	b := readBuild()
	if v.output.value == outputJSON {
		return printJSON(c, b)
	}
	return printTable(c, [][]string{
		{"module", b.Module}, {"version", b.Version}, {"revision", dash(b.Revision)}, {"go", b.Go}, {"platform", b.Platform},
	})
}

func readBuild() build {
	b := build{Version: "(unknown)", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Module, b.Version = info.Main.Path, info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}
