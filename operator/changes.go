package operator

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/parser"
	"bambooweir.example/bambooweir/planner"
	"bambooweir.example/bambooweir/versioner"
)

// Paths of the resources that accept and preview changes. The request body is a
// TOML file of edits, which package parser reads.
const (
	ChangesPath = "/v1/changes"
	PlanPath    = "/v1/plan"
)

// Request headers of a change. The author's token is the request's bearer token.
const (
	HeaderChangeID     = "Change-Id"
	HeaderChangeAuthor = "Change-Author"
	HeaderChangeReason = "Change-Reason"
	// HeaderChangeBase overrides the file's base version.
	HeaderChangeBase = "Change-Base"
	// HeaderChangeConsent holds the token of a partner who consents to the
	// change. It may be sent up to maxConsents times.
	HeaderChangeConsent = "Change-Consent"
)

// maxConsents limits the HeaderChangeConsent fields of one request.
const maxConsents = 16

// ChangeAnswer is the response to an accepted change.
type ChangeAnswer struct {
	Version  versioner.Version `json:"version"`
	ChangeID string            `json:"change-id"`
	// Unchanged reports whether Version already contained every edit, so that no
	// new version was created.
	Unchanged bool `json:"unchanged,omitempty"`
}

// PlanAnswer is the response to a request for a plan: what a change would do.
type PlanAnswer struct {
	Plan *planner.Plan `json:"plan"`
	// Refusal says why the change would be refused; nil when it is allowed.
	Refusal *Problem `json:"refusal,omitempty"`
}

// Counters counts operators' requests. The zero value is ready to use.
type Counters struct {
	// Malformed counts changes that could not be read.
	Malformed expvar.Int
	// Plans counts requests to preview a change.
	Plans expvar.Int
}

// change accepts the change in the request.
func (a *API) change(c echo.Context) error {
	change, err := a.readChange(c)
	if err != nil {
		return writeProblem(c, err)
	}
	v, err := a.Acceptor.Accept(c.Request().Context(), *change)
	answer := ChangeAnswer{Version: v, ChangeID: change.Audit.ChangeID}
	var unchanged *acceptor.NoChangeError
	if errors.As(err, &unchanged) {
		answer.Version, answer.Unchanged, err = unchanged.Version, true, nil
	}
	if err != nil {
		return writeProblem(c, err)
	}
	return c.JSON(http.StatusOK, answer)
}

// plan responds with the plan for the change in the request, without accepting it.
func (a *API) plan(c echo.Context) error {
	a.Counters.Plans.Add(1)
	change, err := a.readChange(c)
	if err != nil {
		return writeProblem(c, err)
	}
	preview, err := a.Acceptor.Preview(c.Request().Context(), *change)
	var unchanged *acceptor.NoChangeError
	if errors.As(err, &unchanged) {
		empty := &planner.Plan{From: unchanged.Version, To: unchanged.Version, Edits: []planner.Edit{}, Partners: []planner.Impact{}}
		return c.JSON(http.StatusOK, PlanAnswer{Plan: empty})
	}
	if err != nil {
		return writeProblem(c, err)
	}
	answer := PlanAnswer{Plan: planner.Make(preview.From, preview.To)}
	if preview.Refusal != nil {
		answer.Refusal = newProblem(preview.Refusal)
	}
	return c.JSON(http.StatusOK, answer)
}

// readChange parses the change in the request and counts a malformed one.
func (a *API) readChange(c echo.Context) (*acceptor.Change, error) {
	change, err := readChange(c)
	if err != nil {
		a.Counters.Malformed.Add(1)
	}
	return change, err
}

// readChange parses the change in the request's headers and body.
func readChange(c echo.Context) (*acceptor.Change, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, decoder.MaxFileBytes))
	if err != nil {
		return nil, err
	}
	edits, err := parser.Parse("change", body)
	if err != nil {
		return nil, err
	}
	h := c.Request().Header
	token, _ := strings.CutPrefix(h.Get(echo.HeaderAuthorization), "Bearer ")
	change := &acceptor.Change{
		Audit: versioner.Audit{
			ChangeID: h.Get(HeaderChangeID), Author: h.Get(HeaderChangeAuthor), Reason: h.Get(HeaderChangeReason),
		},
		Base: edits.BaseVersion, Upserts: edits.Upserts, Deletes: edits.Deletes,
		Token: token, Consents: h.Values(HeaderChangeConsent),
	}
	if len(change.Consents) > maxConsents {
		return nil, &acceptor.InvalidChangeError{Field: HeaderChangeConsent, Message: "was sent too many times"}
	}
	if base := h.Get(HeaderChangeBase); base != "" {
		n, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return nil, &acceptor.InvalidChangeError{Field: HeaderChangeBase, Message: "must be a version"}
		}
		change.Base = versioner.Version(n)
	}
	return change, nil
}
