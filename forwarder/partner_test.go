package forwarder

import (
	"context"
	"testing"

	"bambooweir.example/bambooweir/messenger"
)

// A calling partner that the configuration does not have must not be passed on.
func TestUnknownCallingPartnerIsDropped(t *testing.T) {
	for _, tt := range []struct{ header, want string }{
		{"", ""}, {"magnolia", "magnolia"}, {"nobody", ""},
	} {
		runInMesh(t, []string{"a"}, func(t *testing.T, m *mesh) {
			got := "Admit was not called"
			m.targets["a"].executor.Admit = func(_ context.Context, call *messenger.Call) (func(), *messenger.Answer) {
				got = call.CallingPartner
				return func() {}, nil
			}
			wantResponse(t, m.call(m.ctx, "/postings", "1", messenger.HeaderPartner, tt.header), "200")
			if got != tt.want {
				t.Errorf("header %q: got calling partner %q, want %q", tt.header, got, tt.want)
			}
		})
	}
}
