package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"bambooweir.example/bambooweir/operator"
	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/versioner"
)

// planCommand shows the effects of an edits file without applying it.
type planCommand struct {
	changeFlags
	output outputFlag
}

func (p *planCommand) command() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show what an edits file would change, per partner",
		Long: `Plan checks the edits of a file against the newest version and shows which services,
routes, settings and exceptions of each partner they would affect, without applying
them. If the change lacks approvals, plan lists them and exits with status 5.

` + statusHelp,
		Example: `  bambooweir plan routes.toml
  bambooweir plan defaults.toml --output json`,
		Args: cobra.ExactArgs(1),
		RunE: p.run,
	}
	p.addFlags(c)
	p.output.addFlag(c, outputJSON)
	return c
}

func (p *planCommand) run(c *cobra.Command, args []string) error {
	edits, body, err := readEdits(args[0])
	if err != nil {
		return err
	}
	stop := progress(c, "waiting for "+p.daemonURL)
	b, err := p.do(c.Context(), http.MethodPost, operator.PlanPath, p.header(), body)
	stop()
	if err != nil {
		return edits.addPositions(withStatus(err))
	}
	var answer operator.PlanAnswer
	if err := json.Unmarshal(b, &answer); err != nil {
		return err
	}
	if p.output.value == outputJSON {
		err = printJSON(c, answer)
	} else {
		err = printPlan(c, answer.Plan)
	}
	if err == nil && answer.Refusal != nil {
		refusal := &problemError{problem: *answer.Refusal}
		return &statusError{status: refusal.status(), err: fmt.Errorf("apply would fail: %w", refusal)}
	}
	return err
}

func printPlan(c *cobra.Command, p *planner.Plan) error {
	if len(p.Edits) == 0 {
		fmt.Fprintf(c.OutOrStdout(), "version %d holds every edit already\n", p.From)
		return nil
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d -> %d\n\n", p.From, p.To)
	rows := [][]string{{"ACTION", "ENTRY", "FIELDS"}}
	for _, e := range p.Edits {
		rows = append(rows, []string{string(e.Action), e.Key.String(), joinChanges(e)})
	}
	if err := printTable(c, rows); err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout())
	rows = [][]string{{"PARTNER", "TOUCHED", "CHANGE"}}
	for _, i := range p.Partners {
		rows = append(rows, impactRows(i)...)
	}
	return printTable(c, rows)
}

// impactRows returns the table rows for one partner, one for each affected entry and
// setting, or a single row if nothing but the partner itself is affected.
func impactRows(i planner.Impact) [][]string {
	var rows [][]string
	for _, name := range i.Services {
		rows = append(rows, []string{i.Partner, "service", name})
	}
	for _, name := range i.Routes {
		rows = append(rows, []string{i.Partner, "route", name})
	}
	for _, s := range i.Settings {
		rows = append(rows, []string{i.Partner, "setting", fmt.Sprintf("%s%s %d -> %d", s.Setting, scopeSuffix(s.Scope), s.From, s.To)})
	}
	for _, x := range i.Exceptions {
		line := fmt.Sprintf("%s: %s%s %d, default %d: %s", x.Name, x.Exception.Setting, scopeSuffix(x.Exception.Scope()), x.Exception.Value, x.Default, x.Exception.Reason)
		rows = append(rows, []string{i.Partner, "exception", line})
	}
	if len(rows) == 0 {
		rows = append(rows, []string{i.Partner, "partner", "-"})
	}
	return rows
}

// joinChanges formats the changes to the fields of an edited entry, separated by
// commas.
func joinChanges(e planner.Edit) string {
	var parts []string
	for _, f := range e.Changes() {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, ", ")
}

// scopeSuffix returns the scope in parentheses after a space, or "" for the whole
// fleet.
func scopeSuffix(s versioner.Scope) string {
	if text := scopeText(s); text != "" {
		return " (" + text + ")"
	}
	return ""
}

// scopeText formats a scope as name=value pairs, and the whole fleet as "".
func scopeText(s versioner.Scope) string {
	var parts []string
	for _, field := range []struct{ name, value string }{
		{"partner", s.Partner}, {"service", s.Service}, {"failure-domain", s.FailureDomain},
	} {
		if field.value != "" {
			parts = append(parts, field.name+"="+field.value)
		}
	}
	return strings.Join(parts, " ")
}
