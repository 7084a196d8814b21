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
	convergenceBound = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
)

// change is one accepted change and how it spread.
type change struct {
	author, reason string
	version        versioner.Version
	accepted       time.Time
	// convergence is the time until the last daemon had the version in force.
	convergence time.Duration
}

// apply makes a change at an instance's daemon, as the operators' command does.
func (f *fleet) apply(ctx context.Context, at *instance, author, reason, edits string) (change, error) {
	told := caller.New().Apply(ctx, caller.Change{
		ID: rand.Text(), Entry: at.settings.InstanceID, URL: at.operatorURL(),
		Author: author, Reason: reason, Edits: edits,
	})
	f.recorder.AddChange(told)
	if told.Outcome != caller.Accepted {
		return change{}, fmt.Errorf("%s: %s", told.Outcome, told.Cause)
	}
	return change{author: author, reason: reason, version: told.Version, accepted: told.Finished}, nil
}

// converge waits until all instances have the change's version in force.
func (f *fleet) converge(ctx context.Context, c *change, instances []*instance) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceBound)
	defer cancel()
	for _, i := range instances {
		for {
			status, err := readStatus(ctx, i)
			if err == nil && status.Version >= c.version {
				break
			}
			if sleeper.Sleep(ctx, pollInterval) != nil {
				return fmt.Errorf("%s has version %d after %s, want %d", i.settings.InstanceID, status.Version, convergenceBound, c.version)
			}
		}
	}
	c.convergence = time.Since(c.accepted)
	return nil
}

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
