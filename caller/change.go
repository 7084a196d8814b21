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

// Change is a change of the configuration, as an operator makes it.
type Change struct {
	// ID is the change id; it must be unique.
	ID string
	// Entry is the name of the daemon that takes the change, URL its operator URL.
	Entry, URL string
	Author     string
	Reason     string
	// Edits is the content of a file of edits.
	Edits string
}

// ChangeOutcome is what an operator learned of a change.
type ChangeOutcome string

// The outcomes of changes. ChangeUnknown is told, or the daemon gave no answer.
const (
	Accepted      ChangeOutcome = "accepted"
	NotAccepted   ChangeOutcome = "not-accepted"
	ChangeUnknown ChangeOutcome = "unknown"
)

// ToldChange is the record of one change that came to its end.
type ToldChange struct {
	Change  Change
	Outcome ChangeOutcome
	// Version is the version that the change made, if it was accepted.
	Version versioner.Version
	// Cause says why it was not.
	Cause    string
	Finished time.Time
}

// Apply makes one change and waits for its end.
func (c *Caller) Apply(ctx context.Context, change Change) ToldChange {
	told := ToldChange{Change: change, Outcome: ChangeUnknown}
	status, body, err := c.postChange(ctx, change)
	told.Finished = time.Now()
	if err != nil {
		told.Cause = err.Error()
		if failure(err) == Unreachable {
			told.Outcome = NotAccepted
		}
		return told
	}
	var answer struct {
		Version versioner.Version
		Outcome ChangeOutcome
		Detail  string
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		told.Cause = err.Error()
		return told
	}
	if status == http.StatusOK {
		told.Outcome, told.Version = Accepted, answer.Version
		return told
	}
	told.Cause = fmt.Sprintf("%d %s", status, answer.Detail)
	if answer.Outcome == NotAccepted {
		told.Outcome = NotAccepted
	}
	return told
}

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
