package acceptor_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

func magnolia(share int) versioner.Entry {
	return versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"},
		Partner: &versioner.Partner{SharePercent: share},
	}
}

func service(name string, slots int) versioner.Entry {
	return versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindService, Name: name},
		Service: &versioner.Service{Partner: "magnolia", Slots: slots},
	}
}

func change(id string, upserts ...versioner.Entry) acceptor.Change {
	return acceptor.Change{Audit: versioner.Audit{ChangeID: id, Author: "ada", Reason: "test"}, Upserts: upserts}
}

func mustAccept(t *testing.T, a *acceptor.Acceptor, c acceptor.Change) versioner.Version {
	t.Helper()
	v, err := a.Accept(t.Context(), c)
	if err != nil {
		t.Fatalf("accepting %s: %v", c.Audit.ChangeID, err)
	}
	return v
}

func TestAcceptLostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		script []step
	}{
		{"answer lost after the write", []step{{fault: faultLostAfter}}},
		{"request lost", []step{{fault: faultLostBefore}}},
		{"request late, behind its own repetition", []step{{fault: faultLate}}},
		{"request late, before its own repetition", []step{{fault: faultLate}, {fault: faultLostBefore}, {fault: faultLostBefore}}},
		{"answer lost twice", []step{{fault: faultLostBefore}, {fault: faultLostAfter}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				client := &faultyClient{Client: store, script: tt.script, only: []string{acceptor.HeadKey}, late: 70 * time.Millisecond}
				a := &acceptor.Acceptor{Store: client}
				if got, want := mustAccept(t, a, change("one", magnolia(50))), versioner.Version(1); got != want {
					t.Errorf("version: got %d, want %d", got, want)
				}
				client.wg.Wait()
				if got, want := mustAccept(t, a, change("two", magnolia(60))), versioner.Version(2); got != want {
					t.Errorf("version after it: got %d, want %d", got, want)
				}
			})
		})
	}
}

func TestAcceptUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		cut := make([]step, 10_000)
		for i := range cut {
			cut[i].fault = faultLostBefore
		}
		cut[0].fault = faultLostAfter
		client := &cutAfterSwap{faultyClient{Client: store}, cut}
		a := &acceptor.Acceptor{Store: client}
		_, err := a.Accept(t.Context(), change("one", magnolia(50)))
		var unknown *acceptor.UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.ChangeID != "one" {
			t.Fatalf("error: got %v, want an UnknownOutcomeError of change one", err)
		}
		healed := &acceptor.Acceptor{Store: store}
		if got, want := mustAccept(t, healed, change("one", magnolia(50))), versioner.Version(1); got != want {
			t.Errorf("version of the repetition: got %d, want %d", got, want)
		}
	})
}

// Two editors who set the same values propose the same document.
func TestAcceptKeepsTheWinnersDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		slow := &faultyClient{Client: store, script: []step{{delay: time.Second}}, only: []string{acceptor.HeadKey}}
		loser := make(chan error)
		go func() {
			_, err := (&acceptor.Acceptor{Store: slow}).Accept(t.Context(), change("loser", magnolia(50)))
			loser <- err
		}()
		time.Sleep(time.Millisecond)
		mustAccept(t, &acceptor.Acceptor{Store: store}, change("winner", magnolia(50)))
		var unchanged *acceptor.NoChangeError
		if err := <-loser; !errors.As(err, &unchanged) {
			t.Errorf("error of the loser: got %v, want a NoChangeError", err)
		}
		head, _, _ := acceptor.ReadHead(t.Context(), store)
		if _, err := acceptor.ReadDocument(t.Context(), store, head); err != nil {
			t.Errorf("reading the winner's document: %v", err)
		}
	})
}

func TestAcceptRemovesTheLosersDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		slow := &faultyClient{Client: store, script: []step{{delay: time.Second}}, only: []string{acceptor.HeadKey}}
		mustAccept(t, &acceptor.Acceptor{Store: store}, change("first", magnolia(50)))
		loser := make(chan error)
		go func() {
			_, err := (&acceptor.Acceptor{Store: slow}).Accept(t.Context(), change("loser", service("a", 1)))
			loser <- err
		}()
		time.Sleep(time.Millisecond)
		mustAccept(t, &acceptor.Acceptor{Store: store}, change("winner", service("b", 1)))
		if err := <-loser; err != nil {
			t.Fatal(err)
		}
		items, _ := store.List(t.Context(), "config/content/")
		if got, want := len(items), 3; got != want {
			t.Errorf("documents: got %d, want one for each of %d versions", got, want)
		}
	})
}

// cutAfterSwap loses every call from the first swap of the head on.
type cutAfterSwap struct {
	faultyClient
	cut []step
}

func TestAcceptStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		down := make([]step, 10_000)
		for i := range down {
			down[i].fault = faultLostBefore
		}
		a := &acceptor.Acceptor{Store: &faultyClient{Client: store, script: down}}
		_, err := a.Accept(t.Context(), change("one", magnolia(50)))
		var unavailable *storer.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Errorf("error: got %v, want an UnavailableError", err)
		}
		if got := store.Counts().Writes; got != 0 {
			t.Errorf("writes: got %d, want 0", got)
		}
	})
}

func TestAcceptConflict(t *testing.T) {
	a := &acceptor.Acceptor{Store: newStore()}
	mustAccept(t, a, change("base", magnolia(50), service("a", 1), service("b", 1)))
	mustAccept(t, a, change("theirs", service("a", 2)))
	mine := change("mine", service("a", 3))
	mine.Base = 1
	_, err := a.Accept(t.Context(), mine)
	var conflict *acceptor.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("error: got %v, want a ConflictError", err)
	}
	got := fmt.Sprintf("%d %d %d %s", conflict.Current.Service.Slots, conflict.Wanted.Service.Slots, conflict.ChangedIn, conflict.By)
	if want := "2 3 2 ada"; got != want {
		t.Errorf("current, wanted, version, author: got %s, want %s", got, want)
	}
	other := change("other", service("b", 3))
	other.Base = 1
	if got, want := mustAccept(t, a, other), versioner.Version(3); got != want {
		t.Errorf("edit of another entry: got version %d, want %d", got, want)
	}
	gone := change("gone")
	gone.Deletes = []versioner.Key{service("b", 0).Key}
	mustAccept(t, a, gone)
	back := change("back", service("b", 4))
	back.Base = 3
	if _, err := a.Accept(t.Context(), back); !errors.As(err, &conflict) || conflict.Current != nil {
		t.Errorf("edit of a deleted entry: got %v, want a ConflictError without a current value", err)
	}
}

func TestAcceptIsIdempotentBeyondTheHead(t *testing.T) {
	store := newStore()
	a := &acceptor.Acceptor{Store: store, RecentBytes: 600}
	mustAccept(t, a, change("first", magnolia(1)))
	for i := range 20 {
		mustAccept(t, a, change(fmt.Sprint("next-", i), magnolia(2+i)))
	}
	head, _, err := acceptor.ReadHead(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(head.Recent); got > 5 {
		t.Errorf("deltas in the head: got %d, want at most 5", got)
	}
	if got, want := mustAccept(t, a, change("first", magnolia(1))), versioner.Version(1); got != want {
		t.Errorf("version of a repeated old change: got %d, want %d", got, want)
	}
	var reused *acceptor.ReusedIDError
	for _, id := range []string{"first", "next-19"} {
		if _, err := a.Accept(t.Context(), change(id, magnolia(99))); !errors.As(err, &reused) {
			t.Errorf("other edits under the id %s: got %v, want a ReusedIDError", id, err)
		}
	}
	deltas, err := acceptor.ReadHistory(t.Context(), store, 100)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(deltas), 21; got != want {
		t.Errorf("history: got %d deltas, want %d", got, want)
	}
}

func TestAcceptBoundsWhatItKeeps(t *testing.T) {
	store := newStore()
	a := &acceptor.Acceptor{Store: store, RecentBytes: 600, HistoryVersions: 10}
	mustAccept(t, a, change("first", magnolia(1)))
	for i := range 60 {
		mustAccept(t, a, change(fmt.Sprint("next-", i), magnolia(2+i%90)))
	}
	items, err := store.List(t.Context(), "config/")
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(map[string]int)
	for _, item := range items {
		kinds[strings.Split(item.Key, "/")[1]]++
	}
	for _, kind := range []string{"history", "change"} {
		if got := kinds[kind]; got > 12 {
			t.Errorf("%s keys: got %d, want at most 12", kind, got)
		}
	}
	if got := kinds["content"]; got > 8 {
		t.Errorf("content keys: got %d, want at most 8", got)
	}
}

func TestAcceptTooLarge(t *testing.T) {
	store := newStore()
	a := &acceptor.Acceptor{Store: store}
	c := change("large")
	c.Upserts = []versioner.Entry{magnolia(1)}
	for i := range storer.MaxValueBytes / 100 {
		c.Upserts = append(c.Upserts, versioner.Entry{
			Key:     versioner.Key{Kind: versioner.KindService, Name: fmt.Sprintf("s%d-%s", i, strings.Repeat("x", 50))},
			Service: &versioner.Service{Partner: "magnolia"},
		})
	}
	c.Upserts = c.Upserts[:9000]
	_, err := a.Accept(t.Context(), c)
	var large *acceptor.TooLargeError
	if !errors.As(err, &large) {
		t.Fatalf("error: got %v, want a TooLargeError", err)
	}
	items, _ := store.List(t.Context(), "config/")
	if got := len(items); got != 0 {
		t.Errorf("keys left behind: got %d, want 0", got)
	}
}

// A change costs few calls one after the other, so that a slow store delays it
// but does not stop it.
func TestAcceptSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		a := &acceptor.Acceptor{Store: store, RecentBytes: 600, HistoryVersions: 10}
		for i := range 40 {
			mustAccept(t, a, change(fmt.Sprint("fast-", i), magnolia(1+i%2)))
		}
		script := make([]step, 1000)
		for i := range script {
			script[i].delay = 2 * time.Second
		}
		slow := &acceptor.Acceptor{Store: &faultyClient{Client: store, script: script}, RecentBytes: 600, HistoryVersions: 10}
		begin := time.Now()
		mustAccept(t, slow, change("slow", magnolia(50)))
		if got, limit := time.Since(begin), 11*time.Second; got > limit {
			t.Errorf("time for a change, in delays of 2 s: got %v, want at most %v", got, limit)
		}
	})
}
