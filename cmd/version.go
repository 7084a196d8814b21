package cmd

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand prints the version and build of this program.
type versionCommand struct{ output outputFlag }

// buildInfo is the JSON output of the version command.
type buildInfo struct {
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
	v.output.addFlag(c, outputJSON)
	return c
}

func (v *versionCommand) run(c *cobra.Command, _ []string) error {
	b := readBuildInfo()
	if v.output.value == outputJSON {
		return printJSON(c, b)
	}
	return printTable(c, [][]string{
		{"module", b.Module}, {"version", b.Version}, {"revision", orDash(b.Revision)}, {"go", b.Go}, {"platform", b.Platform},
	})
}

// readBuildInfo returns the build information embedded in the binary, as far as it
// exists.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: "(unknown)", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
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
