package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/versioner"
)

const (
	tokenVariable  = "BAMBOOWEIR_TOKEN" // environment variable that holds the partner's token
	attemptTimeout = 20 * time.Second   // for one HTTP request with its answer
	maxAnswerBytes = 64 << 20           // a longer answer is an error
)

// client calls the operator API of a daemon.
type client struct {
	daemonURL string
	http      http.Client
}

func (c *client) addDaemonFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.daemonURL, "daemon", "http://127.0.0.1:7200", "operator URL of any daemon")
}

// problemError is the error of a request that a daemon answered with a problem
// document.
type problemError struct{ problem operator.Problem }

// Error implements error.
func (e *problemError) Error() string {
	p := &e.problem
	lines := []string{string(p.Outcome) + ": " + p.Title}
	switch {
	case len(p.File) > 0:
		lines = append(lines, (&decoder.InvalidError{Problems: p.File}).Error())
	case len(p.Refusals) > 0:
		for _, r := range p.Refusals {
			lines = append(lines, fmt.Sprintf("%s: %s (%s)", r.Key, r.Reason, r.Rule))
		}
	case p.Conflict != nil:
		lines = append(lines, p.Detail, "  wanted:  "+entryText(p.Conflict.Wanted), "  current: "+entryText(p.Conflict.Current))
	default:
		lines = append(lines, p.Detail)
	}
	lines[0] = strings.Replace(lines[0], "not-accepted", "not accepted", 1)
	return strings.Join(lines, "\n")
}

// entryText formats the fields of an entry, or returns "deleted" if e is nil.
func entryText(e *versioner.Entry) string {
	if e == nil {
		return "deleted"
	}
	return joinFields(planner.Fields(e))
}

// status returns the exit status for the problem.
func (e *problemError) status() int {
	switch e.problem.Cause {
	case operator.CauseMalformed, operator.CauseInvalid, operator.CauseTooLarge, operator.CauseReusedID:
		return statusBadInput
	case operator.CauseConflict, operator.CauseStaleBase:
		return statusConflict
	case operator.CauseUnauthenticated, operator.CauseUnauthorized:
		return statusRefused
	case operator.CauseUnknownOutcome:
		return statusUnknown
	}
	return statusFailure
}

// unansweredError is the error of a request that got no valid answer.
type unansweredError struct {
	cause error
	// sent reports whether the daemon may have received and processed the
	// request.
	sent bool
}

// Error implements error.
func (e *unansweredError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unansweredError) Unwrap() error { return e.cause }

// get requests a resource and decodes its JSON answer into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	b, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return withStatus(err)
	}
	return json.Unmarshal(b, out)
}

// getWithProgress is like get, and prints a progress line if the answer takes
// longer than progressDelay.
func (c *client) getWithProgress(cmd *cobra.Command, path string, out any) error {
	defer progress(cmd, "waiting for "+c.daemonURL)()
	return c.get(cmd.Context(), path, out)
}

// do sends one request. It fails with a *problemError or an *unansweredError.
func (c *client) do(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.daemonURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, &unansweredError{cause: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	// A new connection for each request avoids reusing one whose peer no longer
	// responds.
	req.Close = true
	var connected atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &unansweredError{cause: err, sent: connected.Load()}
	}
	defer res.Body.Close()
	b, err := readAnswer(res.Body, maxAnswerBytes)
	if err != nil {
		return nil, &unansweredError{cause: err, sent: true}
	}
	if res.StatusCode == http.StatusOK {
		return b, nil
	}
	var p operator.Problem
	if err := json.Unmarshal(b, &p); err != nil || p.Cause == "" {
		sent := res.StatusCode >= http.StatusInternalServerError
		return nil, &unansweredError{cause: fmt.Errorf("%s answered %s", c.daemonURL, res.Status), sent: sent}
	}
	return nil, &problemError{problem: p}
}

// readAnswer reads an answer, and fails if it has more than limit bytes.
func readAnswer(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, fmt.Errorf("the answer is longer than %d bytes", limit)
	}
	return b, err
}

// withStatus adds the exit status to an error of do, if the daemon answered with
// a problem.
func withStatus(err error) error {
	var p *problemError
	if errors.As(err, &p) {
		return &statusError{status: p.status(), err: err}
	}
	return err
}

// changeFlags holds the flags of the commands that send an edits file.
type changeFlags struct {
	client
	token, author, reason, changeID string
	consents                        []string
	base                            uint64
}

// addFlags adds the flags to cmd, except --change-id, which only apply has.
func (f *changeFlags) addFlags(cmd *cobra.Command) {
	f.addDaemonFlag(cmd)
	cmd.Flags().StringVar(&f.reason, "reason", "", "why the change is made")
	cmd.Flags().StringVar(&f.author, "author", os.Getenv("USER"), "who makes the change")
	cmd.Flags().StringVar(&f.token, "token", "", "the partner's token; the default is the value of the environment variable "+tokenVariable)
	cmd.Flags().StringArrayVar(&f.consents, "consent", nil, "token of a partner who consents to the change; may be repeated")
	cmd.Flags().Uint64Var(&f.base, "base", 0, "version that the edits are based on; overrides base-version in the file")
}

// header returns the request headers with the token and the data of the change.
func (f *changeFlags) header() http.Header {
	h := make(http.Header)
	token := f.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	if token != "" {
		h.Set("Authorization", "Bearer "+token)
	}
	for name, value := range map[string]string{
		operator.HeaderChangeID: f.changeID, operator.HeaderChangeAuthor: f.author, operator.HeaderChangeReason: f.reason,
	} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if f.base != 0 {
		h.Set(operator.HeaderChangeBase, fmt.Sprint(f.base))
	}
	for _, consent := range f.consents {
		h.Add(operator.HeaderChangeConsent, consent)
	}
	return h
}
