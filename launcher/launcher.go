// Package launcher runs a small fleet of real processes on this machine: a fake
// store, daemons and fake targets, with a fault-injecting proxy on each link.
//
// Tests and the soak run use it; daemons never start a process.
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

// StoreName is the process name of the fake store.
const StoreName = "store"

// Daemon describes a daemon of the fleet.
type Daemon struct {
	Name string
	// Domain is the daemon's failure domain.
	Domain string
	// CallerURL is the base URL for callers.
	CallerURL string
	// OperatorURL is the base URL for operators and for the daemon's target.
	OperatorURL string
}

// Target describes a fake target of the fleet.
type Target struct {
	Name    string
	Service string
	// Daemon is the name of the daemon that the target announces itself to.
	Daemon string
	// URL is the target's base URL, which bypasses the daemon and the proxy.
	URL string
}

// NotFoundError reports that the fleet has no process, daemon, target or link,
// as Kind says, with the given name.
type NotFoundError struct{ Kind, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.Name) }

// Fleet is a set of processes and links. Make it with New.
//
// There are three kinds of links: "DAEMON:store" carries the connections from
// DAEMON to the store, "DAEMON:peers" those from other daemons to DAEMON, and
// "TARGET:calls" those from its daemon to TARGET.
type Fleet struct {
	// TargetArgs are further arguments of the fake targets that are started.
	TargetArgs []string
	// DirectCalls makes daemons and targets that are started later reach each other without
	// proxies; their links "DAEMON:peers" and "TARGET:calls" don't exist. The proxies run in
	// this process, and while it has no processor their links are silent, although the
	// daemons run.
	DirectCalls bool

	program string // path of the bambooweir binary
	dir     string // directory of settings files, logs and journals

	mu        sync.Mutex
	processes map[string]*process
	daemons   map[string]Daemon
	targets   map[string]Target
	links     map[string]*faulter.Proxy
	storeAddr string
	// closed is set by Close; a process that is started later is killed at once.
	closed bool
}

// New returns an empty fleet whose processes run the given program. Settings
// files, logs and journals are written to dir.
func New(program, dir string) *Fleet {
	return &Fleet{
		program: program, dir: dir,
		processes: make(map[string]*process), daemons: make(map[string]Daemon),
		targets: make(map[string]Target), links: make(map[string]*faulter.Proxy),
	}
}

// StoreURL returns the base URL of the fake store, which bypasses every proxy.
func (f *Fleet) StoreURL() string { return "http://" + f.storeAddr }

// StartStore starts the fake store.
func (f *Fleet) StartStore() error {
	f.storeAddr = NewAddress()
	return f.startProcess(StoreName, "fake-store", "--address", f.storeAddr)
}

// StartDaemon starts a daemon. Each element of settings is a line that is added
// to its settings file.
func (f *Fleet) StartDaemon(name, domain string, settings ...string) error {
	listen, callers, operators := NewAddress(), NewAddress(), NewAddress()
	store, err := f.addLink(name+":store", f.storeAddr)
	if err != nil {
		return err
	}
	peers, err := f.addCallLink(name+":peers", listen)
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
	return f.startProcess(name, "daemon", "--settings", path)
}

// StartTarget starts a fake target that announces itself to a daemon.
func (f *Fleet) StartTarget(name, daemon, service string) error {
	d, err := f.Daemon(daemon)
	if err != nil {
		return err
	}
	addr := NewAddress()
	calls, err := f.addCallLink(name+":calls", addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.targets[name] = Target{Name: name, Service: service, Daemon: daemon, URL: "http://" + addr}
	f.mu.Unlock()
	args := []string{"fake-target", "--address", addr, "--announced-address", calls,
		"--service", service, "--daemon", d.OperatorURL, "--journal", f.JournalPath(name)}
	return f.startProcess(name, append(args, f.TargetArgs...)...)
}

// JournalPath returns the path of the file to which a target writes its events.
func (f *Fleet) JournalPath(name string) string { return filepath.Join(f.dir, name+".journal") }

// addCallLink is like addLink, but returns upstream if DirectCalls is set.
func (f *Fleet) addCallLink(name, upstream string) (string, error) {
	if f.DirectCalls {
		return upstream, nil
	}
	return f.addLink(name, upstream)
}

// addLink starts a proxy to upstream and returns the proxy's address.
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

// Daemon returns the daemon with the given name, or a *NotFoundError.
func (f *Fleet) Daemon(name string) (Daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	if !ok {
		return Daemon{}, &NotFoundError{Kind: "daemon", Name: name}
	}
	return d, nil
}

// Target returns the target with the given name, or a *NotFoundError.
func (f *Fleet) Target(name string) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.targets[name]
	if !ok {
		return Target{}, &NotFoundError{Kind: "target", Name: name}
	}
	return t, nil
}

// Link returns the proxy of the link with the given name, or a *NotFoundError.
func (f *Fleet) Link(name string) (*faulter.Proxy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.links[name]
	if !ok {
		return nil, &NotFoundError{Kind: "link", Name: name}
	}
	return p, nil
}

// Daemons returns the daemons, sorted by name.
func (f *Fleet) Daemons() []Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sortedValues(f.daemons)
}

// Targets returns the targets, sorted by name.
func (f *Fleet) Targets() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sortedValues(f.targets)
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

// sortedValues returns the values of m in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
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

// Close kills every process and closes every proxy.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.processes {
		p.kill()
	}
	for _, l := range f.links {
		l.Close()
	}
}
