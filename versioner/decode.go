package versioner

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// InvalidDocumentError reports an encoded document that breaks an invariant.
type InvalidDocumentError struct {
	Key     Key
	Message string
}

// Error implements error.
func (e *InvalidDocumentError) Error() string {
	return fmt.Sprintf("document: %s: %s", e.Key, e.Message)
}

// DecodeDocument reads a document in its canonical encoding. It fails when the
// document breaks an invariant.
func DecodeDocument(b []byte) (*Document, error) {
	doc := new(Document)
	if err := cbor.Unmarshal(b, doc); err != nil {
		return nil, errorx.Decorate(err, "decoding document")
	}
	if err := doc.CheckInvariants(); err != nil {
		return nil, err
	}
	return doc, nil
}

// CheckInvariants fails with an *InvalidDocumentError when the document breaks an
// invariant of Document or Entry.
func (d *Document) CheckInvariants() error {
	for i, e := range d.Entries {
		if i > 0 && d.Entries[i-1].Key.Compare(e.Key) >= 0 {
			return &InvalidDocumentError{Key: e.Key, Message: "is out of order"}
		}
		if kind, ok := e.valueKind(); !ok || kind != e.Key.Kind {
			return &InvalidDocumentError{Key: e.Key, Message: "does not hold exactly the value of its kind"}
		}
		if e.Revision > d.Version {
			return &InvalidDocumentError{Key: e.Key, Message: "has a revision above the document's version"}
		}
	}
	return nil
}

// valueKind returns the kind of the only value that the entry holds.
func (e *Entry) valueKind() (Kind, bool) {
	var kind Kind
	n := 0
	for _, v := range []struct {
		kind Kind
		set  bool
	}{
		{KindFleet, e.Fleet != nil},
		{KindPartner, e.Partner != nil},
		{KindClass, e.Class != nil},
		{KindService, e.Service != nil},
		{KindRoute, e.Route != nil},
		{KindException, e.Exception != nil},
	} {
		if v.set {
			kind = v.kind
			n++
		}
	}
	return kind, n == 1
}

// EqualValue says whether both entries hold the same value. The revision and an
// exception's author and time are not part of it.
func (e Entry) EqualValue(other Entry) bool {
	a, errA := Marshal(e.unsigned())
	b, errB := Marshal(other.unsigned())
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

func (e Entry) unsigned() Entry {
	e.Revision = 0
	if e.Exception != nil {
		x := *e.Exception
		x.Author, x.At = "", 0
		e.Exception = &x
	}
	return e
}
