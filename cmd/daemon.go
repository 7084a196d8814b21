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
		return &statusError{status: statusBadInput, err: err}
	}
	log, err := newLogger(cfg.LogLevel)
	if err != nil {
		return err
	}
	store := &storer.HTTPClient{BaseURL: cfg.StoreURL, Timeout: loader.Milliseconds(cfg.StoreTimeoutMS)}
	return daemon.New(cfg, store, log).Run(c.Context())
}

func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	cfg.Level = parsed
	return cfg.Build()
}
