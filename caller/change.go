package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bambooweir.example/bambooweir/versioner"
)

// Change describes a configuration change, as an operator submits it.
type Change struct {
	// ID is the change ID; it must be unique.
	ID string
	// Entry is the name of the daemon that the change is sent to, and URL is its
	// operator URL.
	Entry, URL string
	Author     string
	Reason     string
	// Edits is the content of an edit file.
	Edits string
}

// ChangeOutcome says what an operator knows about the acceptance of a change.
type ChangeOutcome string

// The outcomes of changes. ChangeUnknown means that the daemon reported an unknown
// outcome or returned no readable answer.
const (
	Accepted      ChangeOutcome = "accepted"
	NotAccepted   ChangeOutcome = "not-accepted"
	ChangeUnknown ChangeOutcome = "unknown"
)

// ChangeResult is the record of a completed change.
type ChangeResult struct {
	Change  Change
	Outcome ChangeOutcome
	// Version is the version that the change created, if it was accepted.
	Version versioner.Version
	// Cause says why the change was not accepted or why the outcome is unknown.
	Cause    string
	Finished time.Time
}

// Apply submits one change and returns its record once the daemon has answered
// or the request has failed.
func (c *Caller) Apply(ctx context.Context, change Change) ChangeResult {
	result := ChangeResult{Change: change, Outcome: ChangeUnknown}
	status, body, err := c.postChange(ctx, change)
	result.Finished = time.Now()
	if err != nil {
		result.Cause = err.Error()
		if failureOutcome(err) == Unreachable {
			result.Outcome = NotAccepted
		}
		return result
	}
	var answer struct {
		Version versioner.Version
		Outcome ChangeOutcome
		Detail  string
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		result.Cause = err.Error()
		return result
	}
	if status == http.StatusOK {
		result.Outcome, result.Version = Accepted, answer.Version
		return result
	}
	result.Cause = fmt.Sprintf("%d %s", status, answer.Detail)
	if answer.Outcome == NotAccepted {
		result.Outcome = NotAccepted
	}
	return result
}

// postChange submits a change and returns the status and the body of the answer.
func (c *Caller) postChange(ctx context.Context, change Change) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, change.URL+"/v1/changes", strings.NewReader(change.Edits))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Change-Id", change.ID)
	req.Header.Set("Change-Author", change.Author)
	req.Header.Set("Change-Reason", change.Reason)
	res, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, body, err
}
