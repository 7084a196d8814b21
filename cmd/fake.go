package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	// statusCrashed is the exit status of a fake target that crashes on request.
	// It differs from the exit statuses of the commands.
	statusCrashed = 70
)

// fakeStoreCommand runs a fake of the platform's key-value service.
type fakeStoreCommand struct{ address string }

func (f *fakeStoreCommand) command() *cobra.Command {
	c := &cobra.Command{Use: "fake-store", Short: "Run an in-memory fake of the platform's key-value service", Args: cobra.NoArgs, RunE: f.run}
	c.Flags().StringVar(&f.address, "address", "127.0.0.1:7000", "address to listen on, as IP:port")
	return c
}

func (f *fakeStoreCommand) run(c *cobra.Command, _ []string) error {
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	return serve(c.Context(), l, &http.Server{Handler: platform.StoreHandler(new(fakestorer.Store))})
}

// fakeTargetCommand runs a fake target.
type fakeTargetCommand struct {
	target   faketarget.Target
	journal  string
	behavior string
}

func (f *fakeTargetCommand) command() *cobra.Command {
	c := &cobra.Command{Use: "fake-target", Short: "Run a fake target", Args: cobra.NoArgs, RunE: f.run}
	c.Flags().StringVar(&f.target.Address, "address", "127.0.0.1:8080", "address to listen on, as IP:port")
	c.Flags().StringVar(&f.target.AnnouncedAddress, "announced-address", "", "address to announce, as IP:port; the default is the value of --address")
	c.Flags().StringVar(&f.target.Service, "service", "", "service to announce")
	c.Flags().StringVar(&f.behavior, "behavior", "{}", "how it handles calls at first, in JSON; docs/SCENARIOS.md lists the fields")
	c.Flags().StringVar(&f.journal, "journal", "", "file to append a line to for each event, such as a call that ran")
	c.Flags().StringVar(&f.target.DaemonURL, "daemon", "", "operator URL of the target's daemon")
	return c
}

func (f *fakeTargetCommand) run(c *cobra.Command, _ []string) error {
	if f.journal != "" {
		journal, err := os.OpenFile(f.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer journal.Close()
		f.target.Journal = journal
	}
	var b faketarget.Behavior
	if err := json.Unmarshal([]byte(f.behavior), &b); err != nil {
		return errorx.Decorate(err, "flag behavior")
	}
	f.target.SetBehavior(b)
	f.target.Exit = func() { os.Exit(statusCrashed) }
	l, err := net.Listen("tcp", f.target.Address)
	if err != nil {
		return err
	}
	go f.target.Announce(c.Context())
	return serve(c.Context(), faketarget.Listener{Listener: l}, &http.Server{Handler: &f.target, ConnContext: faketarget.ConnContext})
}

// serve runs the server on l until ctx is done.
func serve(ctx context.Context, l net.Listener, server *http.Server) error {
	server.ReadHeaderTimeout = readHeaderTimeout
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
