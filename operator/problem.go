package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/authorizer"
	"bambooweir.example/bambooweir/decoder"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/validator"
)

// Outcome is the effect of a failed request.
type Outcome string

// The outcomes of a failed request.
const (
	// OutcomeNotAccepted means that the request changed nothing and never will.
	OutcomeNotAccepted Outcome = "not-accepted"
	// OutcomeUnknown means that the change may have been accepted. Repeating it
	// with the same change id is safe.
	OutcomeUnknown Outcome = "unknown"
)

// Cause is why a request failed. It is the last part of a problem's type URN.
type Cause string

// The causes of failed requests.
const (
	CauseMalformed       Cause = "malformed"
	CauseInvalid         Cause = "invalid"
	CauseTooLarge        Cause = "too-large"
	CauseUnauthenticated Cause = "unauthenticated"
	CauseUnauthorized    Cause = "unauthorized"
	CauseConflict        Cause = "conflict"
	CauseStaleBase       Cause = "stale-base"
	CauseReusedID        Cause = "reused-change-id"
	CauseContention      Cause = "contention"
	CauseBusy            Cause = "busy"
	CauseStore           Cause = "store-unavailable"
	CauseUnknownOutcome  Cause = "outcome-unknown"
	CauseInternal        Cause = "internal"
)

const (
	// problemTypePrefix precedes the cause in the type of a problem document.
	problemTypePrefix = "urn:bambooweir:problem:"
	problemMediaType  = "application/problem+json"
	// retryAfterSeconds is the Retry-After of responses with status 503 or 504.
	retryAfterSeconds = 1
)

// Problem is an RFC 9457 problem document. Of the fields after Cause, at most those
// that belong to the cause are set.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	Cause   Cause   `json:"cause"`

	ChangeID string                  `json:"change-id,omitempty"`
	Conflict *acceptor.ConflictError `json:"conflict,omitempty"`
	// Entries holds the faults of the document that the change would lead to.
	Entries []validator.Problem `json:"entries,omitempty"`
	// File holds the faults of the request's body.
	File []decoder.Problem `json:"file,omitempty"`
	// Refusals holds the approvals that the change lacks.
	Refusals []authorizer.Refusal `json:"refusals,omitempty"`
}

// newProblem returns the problem document that describes err.
func newProblem(err error) *Problem {
	p := &Problem{Detail: err.Error(), Outcome: OutcomeNotAccepted}
	p.classify(err)
	p.Type = problemTypePrefix + string(p.Cause)
	return p
}

func (p *Problem) set(status int, cause Cause, title string) {
	p.Status, p.Cause, p.Title = status, cause, title
}

// classify sets the status, cause, title and details for err. It handles malformed
// and invalid changes itself.
func (p *Problem) classify(err error) {
	var file *decoder.InvalidError
	var change *acceptor.InvalidChangeError
	var reused *acceptor.ReusedIDError
	var body *http.MaxBytesError
	var large *acceptor.TooLargeError
	var document *validator.InvalidError
	switch {
	case errors.As(err, &file):
		p.set(http.StatusBadRequest, CauseMalformed, "The file of edits is malformed")
		p.File = file.Problems
	case errors.As(err, &change):
		p.set(http.StatusBadRequest, CauseMalformed, "The change is malformed")
	case errors.As(err, &reused):
		p.set(http.StatusUnprocessableEntity, CauseReusedID, "The change id was used for other edits")
	case errors.As(err, &body), errors.As(err, &large):
		p.set(http.StatusRequestEntityTooLarge, CauseTooLarge, "The change is too large")
	case errors.As(err, &document):
		p.set(http.StatusUnprocessableEntity, CauseInvalid, "The configuration would be invalid")
		p.Entries = document.Problems
	default:
		p.classifyRefusal(err)
	}
}

// classifyRefusal handles changes that lack approvals or conflict with others.
func (p *Problem) classifyRefusal(err error) {
	var token *authorizer.UnauthenticatedError
	var refused *authorizer.RefusedError
	var conflict *acceptor.ConflictError
	var stale *acceptor.StaleBaseError
	switch {
	case errors.As(err, &token):
		p.set(http.StatusUnauthorized, CauseUnauthenticated, "A partner's token is needed")
	case errors.As(err, &refused):
		p.set(http.StatusForbidden, CauseUnauthorized, "The change lacks approvals")
		p.Refusals = refused.Refusals
	case errors.As(err, &conflict):
		p.set(http.StatusConflict, CauseConflict, "An entry was changed after the base version")
		p.Conflict = conflict
	case errors.As(err, &stale):
		p.set(http.StatusConflict, CauseStaleBase, "The base version is too old")
	default:
		p.classifyFailure(err)
	}
}

// classifyFailure handles failures that the change itself did not cause.
func (p *Problem) classifyFailure(err error) {
	var unknown *acceptor.UnknownOutcomeError
	var contention *acceptor.ContentionError
	var store *storer.UnavailableError
	var busy *BusyError
	switch {
	case errors.As(err, &busy):
		p.set(http.StatusServiceUnavailable, CauseBusy, "The daemon is busy")
	case errors.As(err, &unknown):
		p.set(http.StatusGatewayTimeout, CauseUnknownOutcome, "The change may have been accepted")
		p.Outcome = OutcomeUnknown
		p.ChangeID = unknown.ChangeID
	case errors.As(err, &contention):
		p.set(http.StatusServiceUnavailable, CauseContention, "Other changes came first")
	case errors.As(err, &store):
		p.set(http.StatusServiceUnavailable, CauseStore, "The store gave no answer")
	default:
		p.set(http.StatusInternalServerError, CauseInternal, "The request failed")
	}
}

// writeProblem responds to a request with the problem document for err.
func writeProblem(c echo.Context, err error) error {
	p := newProblem(err)
	h := c.Response().Header()
	switch p.Status {
	case http.StatusUnauthorized:
		h.Set(echo.HeaderWWWAuthenticate, "Bearer")
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	}
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, problemMediaType, b)
}
