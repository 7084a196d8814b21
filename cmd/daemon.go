package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

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
		return badInput(err)
	}
	log, err := newLogger(cfg.LogLevel)
	if err != nil {
		return err
	}
	store := &storer.HTTPClient{BaseURL: cfg.StoreURL, Timeout: loader.Milliseconds(cfg.StoreTimeoutMS)}
	cut, stop := onSecondSignal()
	defer stop()
	return daemon.New(cfg, store, log).Run(c.Context(), cut)
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

// onSecondSignal returns a context that ends at the second signal to stop. It
// listens from the start, so that a second signal that comes hard on the first
// is not missed.
func onSecondSignal() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer cancel()
		defer signal.Stop(signals)
		for range cap(signals) {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
