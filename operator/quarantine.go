package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// QuarantinePath is the resource that lists the quarantined requests.
const QuarantinePath = "/v1/quarantine"

// QuarantinedRequest is a request that is not run, because targets ended each time that they
// ran it.
type QuarantinedRequest struct {
	// Digest identifies the request in the logs.
	Digest  string `json:"digest"`
	Service string `json:"service"`
	Partner string `json:"partner"`
	// Crashes is the number of runs of targets that ended under the request.
	Crashes int `json:"crashes"`
	// SinceMS is the time since the last of them, RemainingMS the time until the request is
	// tried again, in milliseconds.
	SinceMS     int64 `json:"since-ms"`
	RemainingMS int64 `json:"remaining-ms"`
}

// QuarantineAnswer is the answer of QuarantinePath.
type QuarantineAnswer struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// quarantine lists the requests that this daemon refuses as quarantined, the one whose last
// crash is the newest first.
func (a *API) quarantine(c echo.Context) error {
	answer := QuarantineAnswer{Requests: []QuarantinedRequest{}}
	if a.Quarantine != nil {
		for _, r := range a.Quarantine.Quarantined() {
			v := a.Quarantine.Judge(r.Request, r.Service)
			answer.Requests = append(answer.Requests, QuarantinedRequest{
				Digest: r.Request.String(), Service: r.Service, Partner: r.Partner, Crashes: v.Crashes,
				SinceMS: v.SinceCrash.Milliseconds(), RemainingMS: v.Remaining.Milliseconds(),
			})
		}
	}
	return c.JSON(http.StatusOK, answer)
}
