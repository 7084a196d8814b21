package cmd

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
)

// connectWindow is how long apply tries to reach a daemon that may be starting.
const connectWindow = 3 * time.Second

// applyCommand sends edits to a daemon for acceptance.
type applyCommand struct {
	changeFlags
	output  outputFlag
	timeout time.Duration
	waiter  waiter
	wait    bool
}

func (a *applyCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Accept the edits of a file as the next version",
		Long: `Apply sends the edits of a file to a daemon, which makes them the next version of
the shared configuration, whole or not at all. An answer that is lost is settled by
repeating the change with the same change id; a change is never made twice.

` + statusHelp,
		Example: `  bambooweir apply routes.toml --reason "move payouts" --author ada --wait
  bambooweir apply defaults.toml --consent "$REGIE_TOKEN" --reason "agreed on Monday"`,
		Args: cobra.ExactArgs(1),
		RunE: a.run,
	}
	a.flags(c)
	a.output.flags(c, outputJSON)
	c.Flags().StringVar(&a.changeID, "change-id", "", "id of the change; give the id of an earlier try to repeat it")
	c.Flags().DurationVar(&a.timeout, "timeout", 40*time.Second, "how long a lost answer is asked for again")
	c.Flags().BoolVar(&a.wait, "wait", false, "wait until every daemon has the version in force")
	c.Flags().DurationVar(&a.waiter.timeout, "wait-timeout", time.Minute, "longest wait of --wait")
	return c
}

func (a *applyCommand) run(c *cobra.Command, args []string) error {
	edits, body, err := readEdits(args[0])
	if err != nil {
		return err
	}
	if a.changeID == "" {
		a.changeID = rand.Text()
	}
	answer, err := a.send(c, body)
	if err != nil {
		return edits.locate(err)
	}
	if err := a.print(c, answer); err != nil || !a.wait {
		return err
	}
	a.waiter.client = &a.client
	return a.waiter.wait(c, answer.Version)
}

func (a *applyCommand) print(c *cobra.Command, answer *operator.ChangeAnswer) error {
	if a.output.value == outputJSON {
		return printJSON(c, answer)
	}
	verb := "accepted"
	if answer.Unchanged {
		verb = "holds every edit already"
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d %s, change %s\n", answer.Version, verb, answer.ChangeID)
	return nil
}

// send repeats the change with the same change id while its outcome is open.
func (a *applyCommand) send(c *cobra.Command, body []byte) (*operator.ChangeAnswer, error) {
	ctx, cancel := context.WithTimeout(c.Context(), a.timeout)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 100 * time.Millisecond
	begin, isOpen := time.Now(), false
	for {
		stop := progress(c, "waiting for the daemon to accept change "+a.changeID)
		answer, err := a.try(ctx, body)
		stop()
		if err == nil {
			return answer, nil
		}
		if isUnknown(err) {
			isOpen = true
		}
		var refused *problemError
		isRefused := errors.As(err, &refused) && !isUnknown(err) && !isPassing(refused)
		if !isOpen && (isRefused || refused == nil && time.Since(begin) > connectWindow) {
			return nil, definite(err)
		}
		if isRefused {
			return nil, a.unknown(fmt.Errorf("an earlier try had no answer, a repetition was %w", err))
		}
		c.PrintErrf("%v, repeating change %s\n", firstLine(err), a.changeID)
		select {
		case <-ctx.Done():
			if !isOpen {
				return nil, definite(err)
			}
			return nil, a.unknown(err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (a *applyCommand) try(ctx context.Context, body []byte) (*operator.ChangeAnswer, error) {
	b, err := a.do(ctx, http.MethodPost, operator.ChangesPath, a.header(), body)
	if err != nil {
		return nil, err
	}
	answer := new(operator.ChangeAnswer)
	if err := json.Unmarshal(b, answer); err != nil {
		return nil, &unansweredError{cause: err, sent: true}
	}
	return answer, nil
}

func (a *applyCommand) unknown(err error) error {
	err = fmt.Errorf("outcome unknown: %w\nrepeat with --change-id %s to learn it", err, a.changeID)
	return &statusError{status: statusUnknown, err: err}
}

// isUnknown says whether the change may have been accepted in spite of err.
func isUnknown(err error) bool {
	var unanswered *unansweredError
	if errors.As(err, &unanswered) {
		return unanswered.sent
	}
	var p *problemError
	return errors.As(err, &p) && p.problem.Outcome == operator.OutcomeUnknown
}

// isPassing says whether a refusal has nothing to do with the change.
func isPassing(p *problemError) bool {
	return p.problem.Cause == operator.CauseBusy || p.problem.Cause == operator.CauseContention
}

func definite(err error) error {
	var unanswered *unansweredError
	if errors.As(err, &unanswered) {
		return fmt.Errorf("not accepted: %w", err)
	}
	return withStatus(err)
}
