package cmd

import (
	"cmp"
	"context"
	"errors"
	"io/fs"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/daemon"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/logger"
	"bambooweir.example/bambooweir/platform"
)

// settingsCheck is how often the settings file is looked at, since it may change
// without a signal.
const settingsCheck = 2 * time.Second

// logWait bounds the wait for the last lines of the log at the end.
const logWait = 200 * time.Millisecond

// daemonCommand runs a daemon.
type daemonCommand struct{ settings string }

func (d *daemonCommand) command() *cobra.Command {
	c := &cobra.Command{Use: "daemon", Short: "Run the daemon beside a target", Args: cobra.NoArgs, RunE: d.run}
	path := cmp.Or(os.Getenv(platform.SettingsVariable), "bambooweir.toml")
	c.Flags().StringVar(&d.settings, "settings", path, "settings file")
	return c
}

func (d *daemonCommand) run(c *cobra.Command, _ []string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	cfg, err := loader.Load(d.settings)
	if err != nil {
		return badInput(err)
	}
	log, err := logger.New(os.Stdout, cfg.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close(logWait)
	store := &platform.Store{BaseURL: cfg.StoreURL, Timeout: loader.Milliseconds(cfg.StoreTimeoutMS)}
	cut, stop := onSecondSignal()
	defer stop()
	run := daemon.New(cfg, store, log.With(zap.String("instance", cfg.InstanceID)))
	go d.follow(c.Context(), run, log, hangups)
	return run.Run(c.Context(), cut)
}

// follow reloads the settings when the file has changed, until ctx ends. A file
// that is not valid changes nothing.
func (d *daemonCommand) follow(ctx context.Context, run *daemon.Daemon, log *logger.Log, hangups <-chan os.Signal) {
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	last := d.stamp(log)
	for {
		isAsked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			isAsked = true
		case <-tick.C:
		}
		now := d.stamp(log)
		if now == last && !isAsked {
			continue
		}
		last = now
		cfg, err := loader.Load(d.settings)
		if err != nil {
			log.Error("settings-refused", zap.String("file", d.settings), zap.Error(err))
			continue
		}
		if level, err := zap.ParseAtomicLevel(cfg.LogLevel); err == nil {
			log.Level.SetLevel(level.Level())
		}
		run.Reload(cfg)
	}
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	modified time.Time
	size     int64
}

func (d *daemonCommand) stamp(log *logger.Log) fileStamp {
	info, err := os.Stat(d.settings)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Warn("settings-unreadable", zap.Error(err))
		}
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
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
