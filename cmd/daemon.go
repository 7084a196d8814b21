package cmd

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/daemon"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/storer"
)

// daemonCommand runs a daemon.
type daemonCommand struct{ settings string }

func (d *daemonCommand) command() *cobra.Command {
	c := &cobra.Command{Use: "daemon", Short: "Run the daemon beside a target", Args: cobra.NoArgs, RunE: d.run}
	c.Flags().StringVar(&d.settings, "settings", "bambooweir.toml", "settings file")
	return c
}

func (d *daemonCommand) run(c *cobra.Command, _ []string) error {
	cfg, err := loader.Load(d.settings)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	return daemon.New(cfg, &storer.HTTPClient{BaseURL: cfg.StoreURL}, log).Run(c.Context())
}
