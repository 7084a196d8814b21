package scripter

import (
	"context"
	"errors"
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/storer"
	"bambooweir.example/bambooweir/versioner"
)

// forge makes a version in the store past every check, or restores the head
// that was there before the first one.
func (s *scenario) forge(_ *testscript.TestScript, args []string) error {
	s.recorder.MarkFaultsInjected()
	store := s.storeClient()
	item, err := store.Get(s.ctx, acceptor.HeadKey)
	if err != nil {
		return err
	}
	if args[0] == "restore" {
		_, err := store.CompareAndSwap(s.ctx, acceptor.HeadKey, s.genuineHead, item.Revision, 0)
		return err
	}
	if s.genuineHead == nil {
		s.genuineHead = item.Value
	}
	head, err := acceptor.DecodeHead(s.genuineHead)
	if err != nil {
		return err
	}
	forged, err := forgeHead(s.ctx, store, head, args[0])
	if err != nil {
		return err
	}
	value, err := versioner.Marshal(forged)
	if err != nil {
		return err
	}
	if args[0] == "garbage" {
		value = []byte("no head at all")
	}
	_, err = store.CompareAndSwap(s.ctx, acceptor.HeadKey, value, item.Revision, 0)
	return err
}

func forgeHead(ctx context.Context, store storer.Client, head acceptor.Head, kind string) (acceptor.Head, error) {
	doc, err := acceptor.ReadDocument(ctx, store, head)
	if err != nil {
		return head, err
	}
	key := versioner.Key{Kind: versioner.KindRoute, Name: "forged"}
	route := &versioner.Route{Partner: "magnolia", PathPrefix: "/forged", Service: "absent", Class: versioner.ClassLookup}
	upserts := []versioner.Entry{{Key: key, Route: route}}
	next := doc.With(upserts, nil)
	digest, err := next.Digest()
	if err != nil {
		return head, err
	}
	forged := acceptor.Head{Version: next.Version, Digest: digest}
	switch kind {
	case "dangling-route":
		forged.Recent = []versioner.Delta{{
			From: head.Version, To: next.Version, FromDigest: head.Digest, ToDigest: digest, Upserts: upserts,
		}}
		return forged, writeDocument(ctx, store, digest, next)
	case "wrong-digest":
		route.Service = "ledger-view"
		return forged, writeDocument(ctx, store, digest, next)
	case "missing-content", "garbage":
		return forged, nil
	case "older-version":
		last := head.Recent[len(head.Recent)-1]
		return acceptor.Head{Version: last.From, Digest: last.FromDigest, Recent: head.Recent[:len(head.Recent)-1]}, nil
	default:
		return head, fmt.Errorf("cannot forge %q", kind)
	}
}

func writeDocument(ctx context.Context, store storer.Client, digest versioner.Digest, doc *versioner.Document) error {
	value, err := versioner.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, acceptor.ContentKey(digest), value, 0, 0)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
