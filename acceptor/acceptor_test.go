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

// magnolia returns an entry of the partner magnolia.
func magnolia(share int) versioner.Entry {
	return versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"},
		Partner: &versioner.Partner{SharePercent: share},
	}
}

// service returns an entry of a service of magnolia.
func service(name string, slots int) versioner.Entry {
	return versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindService, Name: name},
		Service: &versioner.Service{Partner: "magnolia", Slots: slots},
	}
}

// change returns a change by ada with the given id and upserts.
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

// TestAcceptLostAnswer guards against a change that is lost or accepted twice because
// the swap of the head gets no answer.
func TestAcceptLostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		script []step
	}{
		{"answer lost after the write", []step{{fault: faultAnswerLost}}},
		{"request lost", []step{{fault: faultRequestLost}}},
		{"request late, after its own repetition", []step{{fault: faultRequestLate}}},
		{"request late, before its own repetition", []step{{fault: faultRequestLate}, {fault: faultRequestLost}, {fault: faultRequestLost}}},
		{"answer lost twice", []step{{fault: faultRequestLost}, {fault: faultAnswerLost}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				client := &faultyClient{Client: store, script: tt.script, onlyKeys: []string{acceptor.HeadKey}, lateDelay: 70 * time.Millisecond}
				a := &acceptor.Acceptor{Store: client}
				if got, want := mustAccept(t, a, change("one", magnolia(50))), versioner.Version(1); got != want {
					t.Errorf("version: got %d, want %d", got, want)
				}
				client.wg.Wait()
				if got, want := mustAccept(t, a, change("two", magnolia(60))), versioner.Version(2); got != want {
					t.Errorf("version of the next change: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestAcceptUnknownOutcome cuts the store off after the swap of the head took
// effect. Accept must report that the outcome is unknown, and the same change must
// return the version when it is repeated.
func TestAcceptUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		outage := make([]step, 10_000)
		for i := range outage {
			outage[i].fault = faultRequestLost
		}
		outage[0].fault = faultAnswerLost
		client := &outageAfterSwap{faultyClient{Client: store}, outage}
		a := &acceptor.Acceptor{Store: client}
		_, err := a.Accept(t.Context(), change("one", magnolia(50)))
		var unknown *acceptor.UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.ChangeID != "one" {
			t.Fatalf("error: got %v, want an UnknownOutcomeError of change one", err)
		}
		repeating := &acceptor.Acceptor{Store: store}
		if got, want := mustAccept(t, repeating, change("one", magnolia(50))), versioner.Version(1); got != want {
			t.Errorf("version of the repetition: got %d, want %d", got, want)
		}
	})
}

// TestAcceptKeepsTheWinnersDocument guards against deleting the newest document: two
// editors who set the same values propose the same document, and the one whose
// change is not accepted must not delete it.
func TestAcceptKeepsTheWinnersDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		slow := &faultyClient{Client: store, script: []step{{delay: time.Second}}, onlyKeys: []string{acceptor.HeadKey}}
		loser := make(chan error)
		go func() {
			_, err := (&acceptor.Acceptor{Store: slow}).Accept(t.Context(), change("loser", magnolia(50)))
			loser <- err
		}()
		time.Sleep(time.Millisecond)
		mustAccept(t, &acceptor.Acceptor{Store: store}, change("winner", magnolia(50)))
		var unchanged *acceptor.NoChangeError
		if err := <-loser; !errors.As(err, &unchanged) {
			t.Errorf("error of the change that came second: got %v, want a NoChangeError", err)
		}
		head, _, _ := acceptor.ReadHead(t.Context(), store)
		if _, err := acceptor.ReadDocument(t.Context(), store, head); err != nil {
			t.Errorf("reading the winner's document: %v", err)
		}
	})
}

// TestAcceptRemovesTheLosersDocument guards against documents that stay in the store
// after another change was accepted first.
func TestAcceptRemovesTheLosersDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		slow := &faultyClient{Client: store, script: []step{{delay: time.Second}}, onlyKeys: []string{acceptor.HeadKey}}
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

// outageAfterSwap is a faultyClient that starts to use the outage as its script at
// the first swap of the head.
type outageAfterSwap struct {
	faultyClient
	outage []step
}

// TestAcceptStoreDown checks that Accept reports an unavailable store, rather than an
// unknown outcome, if it wrote nothing.
func TestAcceptStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		down := make([]step, 10_000)
		for i := range down {
			down[i].fault = faultRequestLost
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

// TestAcceptConflict checks that an edit based on an old version does not overwrite an
// entry that was changed or deleted since, and that edits of other entries pass.
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

// TestAcceptIsIdempotentBeyondTheHead checks that a change id is recognised after its
// delta was evicted from the head into the history.
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

// TestAcceptBoundsWhatItKeeps guards against keys that are never pruned from the
// store.
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

// TestAcceptTooLarge checks that a document above the store's limit is refused and
// leaves no keys.
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

// TestAcceptSlowStore bounds the sequential calls of one change, in the time that
// it takes when each call takes 2 s. With more of them, a slow store would stop a
// change rather than delay it.
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
