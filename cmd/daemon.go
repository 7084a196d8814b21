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

// settingsPollInterval is the interval between checks of the settings file, which
// may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// logFlushTimeout bounds the wait at exit until buffered log lines are written.
const logFlushTimeout = 200 * time.Millisecond

// daemonCommand runs a daemon.
type daemonCommand struct{ settingsPath string }

func (d *daemonCommand) command() *cobra.Command {
	c := &cobra.Command{Use: "daemon", Short: "Run the daemon beside a target", Args: cobra.NoArgs, RunE: d.run}
	path := cmp.Or(os.Getenv(platform.SettingsVariable), "bambooweir.toml")
	c.Flags().StringVar(&d.settingsPath, "settings", path, "settings file")
	return c
}

func (d *daemonCommand) run(c *cobra.Command, _ []string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	cfg, err := loader.Load(d.settingsPath)
	if err != nil {
		return badInput(err)
	}
	log, err := logger.New(os.Stdout, cfg.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close(logFlushTimeout)
	store := &platform.Store{BaseURL: cfg.StoreURL, Timeout: loader.Milliseconds(cfg.StoreTimeoutMS)}
	abort, stop := secondSignalContext()
	defer stop()
	dmn := daemon.New(cfg, store, log.With(zap.String("instance", cfg.InstanceID)))
	go d.watchSettings(c.Context(), dmn, log, hangups)
	return dmn.Run(c.Context(), abort)
}

// watchSettings reloads the settings on SIGHUP and whenever the file has changed,
// until ctx is done. If the file is invalid, it logs the error and the daemon
// keeps its settings.
func (d *daemonCommand) watchSettings(ctx context.Context, dmn *daemon.Daemon, log *logger.Log, hangups <-chan os.Signal) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := d.statSettings(log)
	for {
		reloadRequested := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reloadRequested = true
		case <-tick.C:
		}
		now := d.statSettings(log)
		if now == last && !reloadRequested {
			continue
		}
		last = now
		cfg, err := loader.Load(d.settingsPath)
		if err != nil {
			log.Error("settings-refused", zap.String("file", d.settingsPath), zap.Error(err))
			continue
		}
		if level, err := zap.ParseAtomicLevel(cfg.LogLevel); err == nil {
			log.Level.SetLevel(level.Level())
		}
		dmn.Reload(cfg)
	}
}

// fileState holds the modification time and size by which changes of a file are
// detected. The zero value means that stat failed.
type fileState struct {
	modified time.Time
	size     int64
}

// statSettings returns the state of the settings file, and the zero value if stat
// fails. It logs failures other than a missing file.
func (d *daemonCommand) statSettings(log *logger.Log) fileState {
	info, err := os.Stat(d.settingsPath)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Warn("settings-unreadable", zap.Error(err))
		}
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// secondSignalContext returns a context that is canceled by the second SIGINT or
// SIGTERM. It counts signals from the call on, so that a second signal right after
// the first is not missed.
func secondSignalContext() (context.Context, context.CancelFunc) {
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
