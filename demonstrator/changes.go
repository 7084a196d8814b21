package demonstrator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bambooweir.example/bambooweir/caller"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/sleeper"
	"bambooweir.example/bambooweir/versioner"
)

const (
	convergenceTimeout = 20 * time.Second
	pollInterval       = 20 * time.Millisecond
)

// change is an accepted change and its convergence time.
type change struct {
	author, reason string
	version        versioner.Version
	accepted       time.Time
	// convergenceTime is the time from acceptance until the last daemon had the
	// version in force.
	convergenceTime time.Duration
}

// apply submits a change to the daemon of an instance, as the operators' command
// does.
func (f *fleet) apply(ctx context.Context, at *instance, author, reason, edits string) (change, error) {
	result := caller.New().Apply(ctx, caller.Change{
		ID: rand.Text(), Entry: at.settings.InstanceID, URL: at.operatorURL(),
		Author: author, Reason: reason, Edits: edits,
	})
	f.recorder.AddChange(result)
	if result.Outcome != caller.Accepted {
		return change{}, fmt.Errorf("%s: %s", result.Outcome, result.Cause)
	}
	return change{author: author, reason: reason, version: result.Version, accepted: result.Finished}, nil
}

// converge waits until all instances have the change's version in force, and sets
// the change's convergence time. It fails after convergenceTimeout.
func (f *fleet) converge(ctx context.Context, c *change, instances []*instance) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for _, i := range instances {
		for {
			status, err := readStatus(ctx, i)
			if err == nil && status.Version >= c.version {
				break
			}
			if sleeper.Sleep(ctx, pollInterval) != nil {
				return fmt.Errorf("%s has version %d after %s, want %d", i.settings.InstanceID, status.Version, convergenceTimeout, c.version)
			}
		}
	}
	c.convergenceTime = time.Since(c.accepted)
	return nil
}

// readStatus returns the status of an instance's daemon.
func readStatus(ctx context.Context, i *instance) (operator.Status, error) {
	var status operator.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.operatorURL()+operator.StatusPath, nil)
	if err != nil {
		return status, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(res.Body).Decode(&status)
	return status, err
}
