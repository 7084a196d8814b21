package limiter

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

func TestTransportBoundsConnections(t *testing.T) {
	var mu sync.Mutex
	var open, most int
	block := make(chan struct{})
	arrived := make(chan struct{}, 10)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-block
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			open++
			most = max(most, open)
		case http.StateClosed:
			open--
		}
	}
	server.Start()
	defer server.Close()
	client := http.Client{Transport: &Transport{Connections: func() int { return 2 }}}
	done := make(chan error, 6)
	for range 6 {
		go func() {
			res, err := client.Get(server.URL)
			if err == nil {
				err = res.Body.Close()
			}
			done <- err
		}()
	}
	<-arrived
	<-arrived
	close(block)
	for range 6 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if most != 2 {
		t.Errorf("open connections: got %d, want 2", most)
	}
}
