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

// Resources that take changes. The body is a file of edits.
const (
	ChangesPath = "/v1/changes"
	PlanPath    = "/v1/plan"
)

// Headers of a change. The author's token is the bearer token of the request.
const (
	HeaderChangeID     = "Change-Id"
	HeaderChangeAuthor = "Change-Author"
	HeaderChangeReason = "Change-Reason"
	// HeaderChangeBase overrides the file's base version.
	HeaderChangeBase = "Change-Base"
	// HeaderChangeConsent holds the token of a partner who consents. It may be
	// sent several times.
	HeaderChangeConsent = "Change-Consent"
)

const maxConsents = 16

// ChangeAnswer answers an accepted change.
type ChangeAnswer struct {
	Version  versioner.Version `json:"version"`
	ChangeID string            `json:"change-id"`
	// Unchanged says that Version held every edit already, and none was made.
	Unchanged bool `json:"unchanged,omitempty"`
}

// PlanAnswer says what a change would do.
type PlanAnswer struct {
	Plan *planner.Plan `json:"plan"`
	// Refusal says why the change would be refused; nil when it is allowed.
	Refusal *Problem `json:"refusal,omitempty"`
}

// Counters count requests of operators. The zero value works.
type Counters struct {
	// Malformed counts changes that could not be read.
	Malformed expvar.Int
	// Plans counts changes that were only looked at.
	Plans expvar.Int
}

func (s *API) change(c echo.Context) error {
	change, err := s.readChange(c)
	if err != nil {
		return fail(c, err)
	}
	v, err := s.Acceptor.Accept(c.Request().Context(), *change)
	answer := ChangeAnswer{Version: v, ChangeID: change.Audit.ChangeID}
	var unchanged *acceptor.NoChangeError
	if errors.As(err, &unchanged) {
		answer.Version, answer.Unchanged, err = unchanged.Version, true, nil
	}
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *API) plan(c echo.Context) error {
	s.Counters.Plans.Add(1)
	change, err := s.readChange(c)
	if err != nil {
		return fail(c, err)
	}
	preview, err := s.Acceptor.Preview(c.Request().Context(), *change)
	var unchanged *acceptor.NoChangeError
	if errors.As(err, &unchanged) {
		empty := &planner.Plan{From: unchanged.Version, To: unchanged.Version, Edits: []planner.Edit{}, Partners: []planner.Impact{}}
		return c.JSON(http.StatusOK, PlanAnswer{Plan: empty})
	}
	if err != nil {
		return fail(c, err)
	}
	answer := PlanAnswer{Plan: planner.Make(preview.From, preview.To)}
	if preview.Refusal != nil {
		answer.Refusal = newProblem(preview.Refusal)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *API) readChange(c echo.Context) (*acceptor.Change, error) {
	change, err := readChange(c)
	if err != nil {
		s.Counters.Malformed.Add(1)
	}
	return change, err
}

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
		return nil, &acceptor.InvalidChangeError{Field: HeaderChangeConsent, Message: "is sent too often"}
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
