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
	cut, stop := afterNextSignal(c.Context())
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

// afterNextSignal returns a context that ends at the first signal to stop that
// comes after ctx has ended.
func afterNextSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	next, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		defer signal.Stop(signals)
		select {
		case <-signals:
			cancel()
		case <-next.Done():
		}
	})
	return next, cancel
}
