// Package launcher runs a small fleet of real processes on this machine: the
// store stand-in, daemons and stand-in targets, with a fault-injecting proxy
// on each link.
//
// It is a tool of tests and of the soak run; daemons start no process.
package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/faulter"
)

// StoreName is the name of the store stand-in's process.
const StoreName = "store"

// Daemon is a daemon of the fleet.
type Daemon struct {
	Name   string
	Domain string
	// CallerURL is where callers reach the daemon.
	CallerURL string
	// OperatorURL is where operators and the target reach the daemon.
	OperatorURL string
}

// Target is a stand-in target of the fleet.
type Target struct {
	Name    string
	Service string
	Daemon  string
	// URL reaches the target past its daemon.
	URL string
}

// UnknownError reports a name that nothing in the fleet has.
type UnknownError struct{ Kind, Name string }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// Fleet is a set of processes and links. Make it with New.
//
// Links are named "DAEMON:store" for the way to the store, "DAEMON:peers" for
// the way from other daemons to DAEMON, and "TARGET:calls" for the way from a
// daemon to its target.
type Fleet struct {
	program string
	dir     string

	mu        sync.Mutex
	processes map[string]*process
	daemons   map[string]Daemon
	targets   map[string]Target
	links     map[string]*faulter.Proxy
	storeAddr string
}

// New returns an empty fleet that runs the program and keeps its files in dir.
func New(program, dir string) *Fleet {
	return &Fleet{
		program: program, dir: dir,
		processes: make(map[string]*process), daemons: make(map[string]Daemon),
		targets: make(map[string]Target), links: make(map[string]*faulter.Proxy),
	}
}

// StoreURL reaches the store stand-in past every proxy.
func (f *Fleet) StoreURL() string { return "http://" + f.storeAddr }

// StartStore starts the store stand-in.
func (f *Fleet) StartStore() error {
	f.storeAddr = NewAddress()
	return f.start(StoreName, "fake-store", "--address", f.storeAddr)
}

// StartDaemon starts a daemon. Each setting is a line of its settings file.
func (f *Fleet) StartDaemon(name, domain string, settings ...string) error {
	listen, callers, operators := NewAddress(), NewAddress(), NewAddress()
	store, err := f.addLink(name+":store", f.storeAddr)
	if err != nil {
		return err
	}
	peers, err := f.addLink(name+":peers", listen)
	if err != nil {
		return err
	}
	lines := append([]string{
		fmt.Sprintf("instance-id = %q", name),
		fmt.Sprintf("failure-domain = %q", domain),
		fmt.Sprintf("peer-address = %q", peers),
		fmt.Sprintf("peer-listen-address = %q", listen),
		fmt.Sprintf("caller-address = %q", callers),
		fmt.Sprintf("operator-address = %q", operators),
		fmt.Sprintf("store-url = %q", "http://"+store),
	}, settings...)
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return errorx.Decorate(err, "writing settings")
	}
	f.mu.Lock()
	f.daemons[name] = Daemon{Name: name, Domain: domain, CallerURL: "http://" + callers, OperatorURL: "http://" + operators}
	f.mu.Unlock()
	return f.start(name, "daemon", "--settings", path)
}

// StartTarget starts a stand-in target beside a daemon.
func (f *Fleet) StartTarget(name, daemon, service string) error {
	d, err := f.Daemon(daemon)
	if err != nil {
		return err
	}
	addr := NewAddress()
	calls, err := f.addLink(name+":calls", addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.targets[name] = Target{Name: name, Service: service, Daemon: daemon, URL: "http://" + addr}
	f.mu.Unlock()
	return f.start(name, "fake-target", "--address", addr, "--announced-address", calls,
		"--service", service, "--daemon", d.OperatorURL, "--journal", f.JournalPath(name))
}

// JournalPath returns the file that holds the events of a target.
func (f *Fleet) JournalPath(name string) string { return filepath.Join(f.dir, name+".journal") }

func (f *Fleet) addLink(name, upstream string) (string, error) {
	p, err := faulter.Listen(NewAddress(), upstream)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[name] = p
	return p.Addr(), nil
}

// Daemon returns the daemon with the name, or an *UnknownError.
func (f *Fleet) Daemon(name string) (Daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	if !ok {
		return Daemon{}, &UnknownError{Kind: "daemon", Name: name}
	}
	return d, nil
}

// Target returns the target with the name, or an *UnknownError.
func (f *Fleet) Target(name string) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.targets[name]
	if !ok {
		return Target{}, &UnknownError{Kind: "target", Name: name}
	}
	return t, nil
}

// Link returns the proxy on a link, or an *UnknownError.
func (f *Fleet) Link(name string) (*faulter.Proxy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.links[name]
	if !ok {
		return nil, &UnknownError{Kind: "link", Name: name}
	}
	return p, nil
}

// Daemons returns the daemons, sorted by name.
func (f *Fleet) Daemons() []Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sorted(f.daemons)
}

// Targets returns the targets, sorted by name.
func (f *Fleet) Targets() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sorted(f.targets)
}

// Links returns the names of the links, sorted.
func (f *Fleet) Links() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.links))
	for name := range f.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sorted[V any](m map[string]V) []V {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	values := make([]V, len(names))
	for i, name := range names {
		values[i] = m[name]
	}
	return values
}

// Close kills every process and ends every proxy.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.kill()
	}
	for _, l := range f.links {
		l.Close()
	}
}
