package forwarder

import (
	"net"
	"testing"

	"bambooweir.example/bambooweir/messenger"
)

func TestRefusedLinkIsRecognised(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := messenger.Dial(t.Context(), addr, messenger.CallPath); !isRefused(err) {
		t.Errorf("got %v, want it to be taken as refused", err)
	}
}
