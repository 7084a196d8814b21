package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/forwarder"
	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/picker"
)

// apiKeyVariable is the environment variable that holds the caller's API key. A flag would
// show the key to every user of the machine.
const apiKeyVariable = "BAMBOOWEIR_API_KEY"

// whereCommand explains where a request would go.
type whereCommand struct {
	client
	output outputFlag
	query  forwarder.Query
}

func (w *whereCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "where HOST PATH",
		Short: "Explain where a request would go now, without sending it",
		Long: `Where asks a daemon where a request that reaches it now would go: the route and the
tenant, the targets with their load and the odds that the first attempt goes to
each, which targets are left out and why, and what would refuse the request.

The caller's API key is read from the environment variable ` + apiKeyVariable + `. It is
sent to the daemon only, and not printed or logged. The exit status is 5 if the
daemon would refuse the request.`,
		Example: `  bambooweir where ledger.example /shares/7
  bambooweir where ledger.example /payouts --method POST --bytes 2000 --output json`,
		Args: cobra.ExactArgs(2),
		RunE: w.run,
	}
	w.addDaemonFlag(c)
	c.Flags().StringVar(&w.query.Method, "method", http.MethodGet, "method of the request")
	c.Flags().IntVar(&w.query.Bytes, "bytes", 0, "size of the request's body")
	w.output.addFlag(c, outputJSON)
	return c
}

func (w *whereCommand) run(c *cobra.Command, args []string) error {
	w.query.Host, w.query.Path, w.query.APIKey = args[0], args[1], os.Getenv(apiKeyVariable)
	if w.query.Path == "" || w.query.Path[0] != '/' {
		return badInput(fmt.Errorf("the path must begin with a slash, got %q", w.query.Path))
	}
	body, err := json.Marshal(w.query)
	if err != nil {
		return err
	}
	answer, err := w.do(c.Context(), http.MethodPost, operator.WherePath, http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return withStatus(err)
	}
	var x forwarder.Explanation
	if err := json.Unmarshal(answer, &x); err != nil {
		return err
	}
	if w.output.value == outputJSON {
		err = printJSON(c, x)
	} else {
		err = printExplanation(c, &x)
	}
	if err != nil || x.Refusal == nil {
		return err
	}
	return &statusError{status: statusRefused, err: w.refusal(&x)}
}

// refusal returns the error that says how the request would be refused.
func (w *whereCommand) refusal(x *forwarder.Explanation) error {
	return fmt.Errorf("%s would refuse %s %s%s with %d: %s", x.InstanceID, w.query.Method, w.query.Host, w.query.Path, x.Refusal.Status, x.Refusal.Cause)
}

// printExplanation prints an explanation for people.
func printExplanation(c *cobra.Command, x *forwarder.Explanation) error {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "entry daemon %s, version %d\n", x.InstanceID, x.Version)
	if x.Route != "" {
		fmt.Fprintf(out, "route %s, class %s, partner %s, priority %d, timeout %d ms, objective %d ms\n",
			x.Route, orDash(x.Class), orDash(x.Partner), x.Priority, x.TimeoutMS, x.ObjectiveMS)
	}
	if x.Tenant != "" {
		fmt.Fprintf(out, "tenant %s, %s\n", x.Tenant, quotaText(x))
	}
	for _, part := range x.Parts {
		if err := printPart(c, out, &part); err != nil {
			return err
		}
	}
	return nil
}

// quotaText describes the tenant's quota.
func quotaText(x *forwarder.Explanation) string {
	if x.RatePerS == 0 {
		return "no quota"
	}
	return fmt.Sprintf("quota %g requests/s and a burst of %g", x.RatePerS, x.Burst)
}

// printPart prints a service of the route and its targets.
func printPart(c *cobra.Command, out io.Writer, part *forwarder.ExplainedPart) error {
	fmt.Fprintf(out, "\nservice %s, %.0f%% of the route's requests\n", part.Service, part.SharePercent)
	if len(part.Targets) == 0 {
		fmt.Fprintln(out, "no target is known: its requests are refused")
		return nil
	}
	rows := [][]string{{"TARGET", "DOMAIN", "ODDS", "WHY", "EXPECTED", "LOAD", "SLOTS", "REPORTED", "FAILURES"}}
	for _, t := range part.Targets {
		rows = append(rows, []string{
			t.InstanceID, t.Domain, strconv.FormatFloat(t.OddsPercent, 'f', 1, 64) + "%", whyText(&t), expectedText(t.ExpectedMS),
			strconv.FormatFloat(t.Load, 'f', 1, 64), strconv.Itoa(t.Slots), reportAge(t.ReportAgeMS), strconv.Itoa(t.FailurePercent) + "%",
		})
	}
	return printTable(c, rows)
}

// whyText says why the target is chosen, or why it is left out.
func whyText(t *picker.Candidate) string {
	switch {
	case t.OddsPercent > 0:
		return t.Reason
	case t.Use == "in-use":
		return "others are better"
	case t.OutForMS > 0:
		return fmt.Sprintf("%s for %s: %s", t.Use, time.Duration(t.OutForMS)*time.Millisecond, t.Cause)
	}
	return t.Use + ": " + t.Cause
}

// expectedText formats an expected latency.
func expectedText(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f ms", ms)
}

// reportAge formats the age of a target's last report.
func reportAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}
