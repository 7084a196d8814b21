package scripter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/publisher"
)

// waitCounter waits until a counter of a daemon satisfies a condition.
func (s *scenario) waitCounter(_ *testscript.TestScript, args []string) error {
	cond, err := parseCondition(args[1])
	if err != nil {
		return err
	}
	return waitUntil(func() error {
		got, err := s.counter(args[0], cond.name)
		if err != nil {
			return err
		}
		return cond.check(got)
	})
}

// assertCounter fails unless a daemon has a counter of the given name.
func (s *scenario) assertCounter(_ *testscript.TestScript, args []string) error {
	_, err := s.counter(args[0], args[1])
	return err
}

// assertPeak fails if a daemon has ever had more memory than a number of MiB.
func (s *scenario) assertPeak(_ *testscript.TestScript, args []string) error {
	bound, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return err
	}
	got, err := s.fleet.PeakBytes(args[0])
	if err == nil && got > bound<<20 {
		err = fmt.Errorf("%s: got %d MiB of memory, want at most %d", args[0], got>>20, bound)
	}
	return err
}

// counter returns the value of a daemon's counter. The name is the path of the
// counter in the metrics, joined by dots, such as acceptor.conflicts.
func (s *scenario) counter(daemon, name string) (int, error) {
	d, err := s.fleet.Daemon(daemon)
	if err != nil {
		return 0, err
	}
	answer := fetch(s.ctx, http.MethodGet, d.OperatorURL+operator.MetricsPath, "")
	body, ok := strings.CutPrefix(answer, "200 ")
	if !ok {
		return 0, fmt.Errorf("%s: %s", daemon, answer)
	}
	path := append([]string{publisher.Name, daemon}, strings.Split(name, ".")...)
	return findNumber(json.RawMessage(body), path)
}

// findNumber returns the number at a path of nested JSON objects.
func findNumber(value json.RawMessage, path []string) (int, error) {
	for _, name := range path {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(value, &object); err != nil {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
		next, ok := object[name]
		if !ok {
			return 0, fmt.Errorf("no counter %s", strings.Join(path, "."))
		}
		value = next
	}
	return strconv.Atoi(string(value))
}
