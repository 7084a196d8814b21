// Package loader reads the settings of a process.
package loader

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
)

// Daemon holds the settings of one daemon.
type Daemon struct {
	InstanceID    string `toml:"instance-id"`
	FailureDomain string `toml:"failure-domain"`
	// CallerAddress is where callers reach this daemon, as IP:port.
	CallerAddress string `toml:"caller-address"`
	// PeerAddress is where other daemons reach this daemon, as IP:port.
	PeerAddress string `toml:"peer-address"`
	// PeerListenAddress is where this daemon takes links, as IP:port, if that is
	// not PeerAddress.
	PeerListenAddress string `toml:"peer-listen-address"`
	// OperatorAddress is where operators and the target reach this daemon, as IP:port.
	OperatorAddress string `toml:"operator-address"`
	// StoreURL is the platform's key-value service.
	StoreURL string `toml:"store-url"`
}

// InvalidError holds the problems of a settings file, one a line.
type InvalidError struct{ Problems []string }

// Error implements error.
func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// Load reads the settings file at path. It fails with an *InvalidError when
// the content is at fault.
func Load(path string) (*Daemon, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errorx.Decorate(err, "opening settings")
	}
	defer f.Close()
	var d Daemon
	dec := toml.NewDecoder(f)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, &InvalidError{Problems: problems(path, err)}
	}
	if missing := d.missing(); len(missing) > 0 {
		return nil, &InvalidError{Problems: []string{path + ":1:1: missing " + strings.Join(missing, ", ")}}
	}
	return &d, nil
}

func (d *Daemon) missing() []string {
	var missing []string
	for _, f := range []struct{ key, value string }{
		{"instance-id", d.InstanceID},
		{"failure-domain", d.FailureDomain},
		{"caller-address", d.CallerAddress},
		{"peer-address", d.PeerAddress},
		{"operator-address", d.OperatorAddress},
		{"store-url", d.StoreURL},
	} {
		if f.value == "" {
			missing = append(missing, f.key)
		}
	}
	return missing
}

func problems(path string, err error) []string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps []string
		for _, e := range strict.Errors {
			line, column := e.Position()
			ps = append(ps, fmt.Sprintf("%s:%d:%d: %s: unknown key", path, line, column, strings.Join(e.Key(), ".")))
		}
		return ps
	}
	var single *toml.DecodeError
	if errors.As(err, &single) {
		line, column := single.Position()
		return []string{fmt.Sprintf("%s:%d:%d: %s: %v", path, line, column, strings.Join(single.Key(), "."), single)}
	}
	return []string{path + ": " + err.Error()}
}
