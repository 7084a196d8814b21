package executor

import (
	"context"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/requester"
	"bambooweir.example/bambooweir/retrier"
)

// While the target runs a retry, FindRunning must say so, so that the calls that the
// target makes meanwhile count as retries. It must say nothing once the run has ended.
func TestFindRunningReportsRetries(t *testing.T) {
	x := &Executor{Target: func() string { return "http://target" }}
	var isRunning, isRetry bool
	x.Exchange = func(context.Context, string, *requester.Request) (*requester.Response, error) {
		isRunning, isRetry = x.FindRunning("r1")
		return &requester.Response{Status: 200}, nil
	}
	for _, marked := range []bool{false, true} {
		call := &messenger.Call{RequestID: "r1", Method: "GET", Target: "/", RemainingMS: time.Minute.Milliseconds(), BodyDigest: messenger.Digest(nil)}
		if marked {
			call.Headers = []messenger.Header{{Name: retrier.AttemptHeader, Value: "retry"}}
		}
		if answer := x.Run(t.Context(), call); answer.Status != 200 {
			t.Fatalf("answer: got %+v, want status 200", answer)
		}
		if !isRunning || isRetry != marked {
			t.Errorf("marked=%v: got running %v, retry %v, want true, %v", marked, isRunning, isRetry, marked)
		}
		if running, _ := x.FindRunning("r1"); running {
			t.Errorf("marked=%v: after the run: got running, want not", marked)
		}
	}
}
