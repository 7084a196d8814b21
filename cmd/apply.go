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

// connectTimeout bounds the attempts to connect to a daemon, which may still be
// starting.
const connectTimeout = 3 * time.Second

// applyCommand submits an edits file to a daemon as a configuration change.
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
		Short: "Apply an edits file as the next version of the configuration",
		Long: `Apply sends the edits of a file to a daemon, which commits all of them as the next
version of the shared configuration, or none. If the answer is lost, apply repeats
the request with the same change id; a change is never made twice.

` + statusHelp,
		Example: `  bambooweir apply routes.toml --reason "move payouts" --author ada --wait
  bambooweir apply defaults.toml --consent "$REGIE_TOKEN" --reason "agreed on Monday"`,
		Args: cobra.ExactArgs(1),
		RunE: a.run,
	}
	a.addFlags(c)
	a.output.addFlag(c, outputJSON)
	c.Flags().StringVar(&a.changeID, "change-id", "", "id of the change; to repeat an earlier attempt, give its id")
	c.Flags().DurationVar(&a.timeout, "timeout", 40*time.Second, "how long the request is repeated while its outcome is unknown")
	c.Flags().BoolVar(&a.wait, "wait", false, "wait until the version is in force on every daemon")
	c.Flags().DurationVar(&a.waiter.timeout, "wait-timeout", time.Minute, "timeout of --wait")
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
		return edits.addPositions(err)
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

// send posts the change, and repeats it with the same change id and exponential
// backoff while the outcome is unknown, the refusal is transient, or, for
// connectTimeout, the daemon cannot be reached. After an attempt that may have been
// accepted, a refusal leaves the outcome unknown, since that attempt may still be
// running.
func (a *applyCommand) send(c *cobra.Command, body []byte) (*operator.ChangeAnswer, error) {
	ctx, cancel := context.WithTimeout(c.Context(), a.timeout)
	defer cancel()
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = 100 * time.Millisecond
	begin, maybeAccepted := time.Now(), false
	for {
		stop := progress(c, "waiting for the daemon to accept change "+a.changeID)
		answer, err := a.attempt(ctx, body)
		stop()
		if err == nil {
			return answer, nil
		}
		if mayHaveBeenAccepted(err) {
			maybeAccepted = true
		}
		var refused *problemError
		isRefused := errors.As(err, &refused) && !mayHaveBeenAccepted(err) && !isTransient(refused)
		if !maybeAccepted && (isRefused || refused == nil && time.Since(begin) > connectTimeout) {
			return nil, notAccepted(err)
		}
		if isRefused {
			return nil, a.outcomeUnknown(fmt.Errorf("an earlier attempt had no answer, and the repeated request was %w", err))
		}
		c.PrintErrf("%v, repeating change %s\n", firstLine(err), a.changeID)
		select {
		case <-ctx.Done():
			if !maybeAccepted {
				return nil, notAccepted(err)
			}
			return nil, a.outcomeUnknown(err)
		case <-time.After(retryDelay.NextBackOff()):
		}
	}
}

// attempt posts the change once.
func (a *applyCommand) attempt(ctx context.Context, body []byte) (*operator.ChangeAnswer, error) {
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

// outcomeUnknown wraps err in an error with statusUnknown that says how to repeat
// the change.
func (a *applyCommand) outcomeUnknown(err error) error {
	err = fmt.Errorf("outcome unknown: %w\nrepeat with --change-id %s to learn it", err, a.changeID)
	return &statusError{status: statusUnknown, err: err}
}

// mayHaveBeenAccepted reports whether the change may have been accepted in spite
// of err.
func mayHaveBeenAccepted(err error) bool {
	var unanswered *unansweredError
	if errors.As(err, &unanswered) {
		return unanswered.sent
	}
	var p *problemError
	return errors.As(err, &p) && p.problem.Outcome == operator.OutcomeUnknown
}

// isTransient reports whether a refusal is due to load or contention, not to the
// change itself.
func isTransient(p *problemError) bool {
	return p.problem.Cause == operator.CauseBusy || p.problem.Cause == operator.CauseContention
}

// notAccepted returns the error for a change that was certainly not accepted.
func notAccepted(err error) error {
	var unanswered *unansweredError
	if errors.As(err, &unanswered) {
		return fmt.Errorf("not accepted: %w", err)
	}
	return withStatus(err)
}
