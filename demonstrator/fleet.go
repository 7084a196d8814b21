package demonstrator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"bambooweir.example/bambooweir/checker"
	"bambooweir.example/bambooweir/daemon"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/faketarget"
	"bambooweir.example/bambooweir/faulter"
	"bambooweir.example/bambooweir/launcher"
	"bambooweir.example/bambooweir/loader"
	"bambooweir.example/bambooweir/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	// storeTimeoutMS and changeTimeoutMS are short, so that a change is refused
	// soon after the store is cut off.
	storeTimeoutMS  = 1000
	changeTimeoutMS = 3000
)

// instance is a daemon and its target, both in this process.
type instance struct {
	settings *loader.Daemon
	target   *faketarget.Target
	// journal is the target's journal of the calls that it ran.
	journal *bytes.Buffer
	// kill stops the daemon without draining; done is closed when it has stopped.
	kill context.CancelFunc
	done chan struct{}
}

func (i *instance) callerURL() string   { return "http://" + i.settings.CallerAddress }
func (i *instance) operatorURL() string { return "http://" + i.settings.OperatorAddress }

// fleet is the store, the daemons and the targets of a demonstration.
type fleet struct {
	store *fakestorer.Store
	// daemons holds each daemon that was started, including those that were killed.
	daemons []*daemon.Daemon
	// storeLink is the proxy through which the daemons call the store; storeURL is
	// its URL.
	storeLink *faulter.Proxy
	storeURL  string
	recorder  *checker.Recorder
	instances []*instance
	servers   []*http.Server
	wg        sync.WaitGroup
}

// start starts the store, the targets, and a daemon beside each target.
func (f *fleet) start(ctx context.Context) error {
	f.store, f.recorder = new(fakestorer.Store), new(checker.Recorder)
	addr := launcher.NewAddress()
	f.serve(addr, platform.StoreHandler(f.store))
	link, err := faulter.Listen(launcher.NewAddress(), addr)
	if err != nil {
		return err
	}
	f.storeLink, f.storeURL = link, "http://"+link.Addr()
	go f.recorder.WatchStore(ctx, &platform.Store{BaseURL: "http://" + addr})
	for _, p := range placements() {
		for n := range p.targets {
			f.addInstance(ctx, instanceName(p.service, n), p.service, p.domains[n%len(p.domains)])
		}
	}
	return nil
}

// serve starts an HTTP server, which stop closes.
func (f *fleet) serve(addr string, h http.Handler) {
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.ListenAndServe() }()
}

// addInstance starts an instance and records the versions of its daemon.
func (f *fleet) addInstance(ctx context.Context, name, service, domain string) {
	settings := loader.Defaults()
	settings.InstanceID, settings.FailureDomain = name, domain
	settings.CallerAddress, settings.PeerAddress = launcher.NewAddress(), launcher.NewAddress()
	settings.OperatorAddress, settings.StoreURL = launcher.NewAddress(), f.storeURL
	settings.StoreTimeoutMS, settings.ChangeTimeoutMS = storeTimeoutMS, changeTimeoutMS
	i := &instance{settings: settings, journal: new(bytes.Buffer)}
	i.target = &faketarget.Target{
		Address: launcher.NewAddress(), Service: service, DaemonURL: i.operatorURL(), Journal: i.journal,
	}
	f.instances = append(f.instances, i)
	f.serve(i.target.Address, i.target)
	go i.target.Announce(ctx)
	go f.recorder.WatchDaemon(ctx, name, i.operatorURL())
	f.startDaemon(ctx, i)
}

// startDaemon starts or restarts the daemon of an instance.
func (f *fleet) startDaemon(ctx context.Context, i *instance) {
	ctx, i.kill = context.WithCancel(ctx)
	i.done = make(chan struct{})
	store := &platform.Store{BaseURL: i.settings.StoreURL, Timeout: loader.Milliseconds(i.settings.StoreTimeoutMS)}
	d := daemon.New(i.settings, store, zap.NewNop())
	f.daemons = append(f.daemons, d)
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer close(i.done)
		_ = d.Run(ctx, ctx)
	}()
}

// recordJournals adds the events in the targets' journals to the recorder.
func (f *fleet) recordJournals() error {
	var failed []error
	for _, i := range f.instances {
		events, err := faketarget.ReadJournal(bytes.NewReader(i.journal.Bytes()))
		if err != nil {
			failed = append(failed, errorx.Decorate(err, "target of %s", i.settings.InstanceID))
			continue
		}
		f.recorder.AddEvents(i.settings.InstanceID, events)
	}
	return errors.Join(failed...)
}

// stop stops the daemons, the servers and the proxy to the store.
func (f *fleet) stop() {
	for _, i := range f.instances {
		i.kill()
	}
	f.wg.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.storeLink.Close()
}
