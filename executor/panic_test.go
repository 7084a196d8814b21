package executor

import (
	"context"
	"testing"
	"time"

	"bambooweir.example/bambooweir/messenger"
	"bambooweir.example/bambooweir/requester"
)

// A panic while one call is run must not end the daemon: the call's outcome is unknown,
// its slot is released and its run is forgotten.
func TestPanicLeavesOneCallUnknown(t *testing.T) {
	released := 0
	x := &Executor{
		Target: func() string { return "http://target" },
		Admit: func(context.Context, *messenger.Call) (func(), *messenger.Answer) {
			return func() { released++ }, nil
		},
		Exchange: func(context.Context, string, *requester.Request) (*requester.Response, error) {
			panic("test")
		},
	}
	call := &messenger.Call{RequestID: "request-1", Method: "GET", Target: "/", RemainingMS: time.Minute.Milliseconds(), BodyDigest: messenger.Digest(nil)}
	answer := x.Run(t.Context(), call)
	if answer.Outcome != messenger.OutcomeUnknown || answer.Cause != CauseInternal {
		t.Errorf("answer: got %v %q, want unknown %q", answer.Outcome, answer.Cause, CauseInternal)
	}
	if released != 1 {
		t.Errorf("slots released: got %d, want 1", released)
	}
	if running, _ := x.FindRunning("request-1"); running {
		t.Error("run after the panic: got running, want not")
	}
}

// A message without any field, of whatever kind, must not end the daemon that receives
// it over a call link.
func TestEmptyMessagesDoNotPanic(t *testing.T) {
	for kind := range 64 {
		m, err := messenger.Decode([]byte{byte(kind), 0xa0})
		if err != nil {
			continue
		}
		x := &Executor{Target: func() string { return "" }}
		l := &servedLink{conn: discardConn{}, number: x.Calls.Open(), opened: time.Now()}
		if !x.handleSafely(t.Context(), l, m) {
			t.Errorf("empty %T: got a panic, want none", m)
		}
	}
}

// discardConn is a link that drops what is sent.
type discardConn struct{}

func (discardConn) Send(context.Context, messenger.Message) error { return nil }

func (discardConn) Receive(ctx context.Context) (messenger.Message, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (discardConn) Close() {}
