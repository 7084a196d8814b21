package versioner

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// InvalidDocumentError reports that a document breaks an invariant of Document
// or Entry.
type InvalidDocumentError struct {
	Key     Key
	Message string
}

// Error implements error.
func (e *InvalidDocumentError) Error() string {
	return fmt.Sprintf("document: %s: %s", e.Key, e.Message)
}

// DecodeDocument decodes a document in its canonical encoding. It fails with an
// *InvalidDocumentError if the document breaks an invariant.
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

// CheckInvariants returns an *InvalidDocumentError if the document breaks an invariant
// of Document or Entry.
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

// valueKind returns the kind of the value that the entry contains. The result is
// false unless the entry contains exactly one value.
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
		{KindTenant, e.Tenant != nil},
		{KindException, e.Exception != nil},
	} {
		if v.set {
			kind = v.kind
			n++
		}
	}
	return kind, n == 1
}

// EqualValue reports whether both entries have the same key and value. It
// ignores the revision, and the author and time of an exception.
func (e Entry) EqualValue(other Entry) bool {
	a, errA := Marshal(e.contentOnly())
	b, errB := Marshal(other.contentOnly())
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// SharesValue reports whether both entries have the same key and share their value, as the
// entries do that a delta leaves unchanged.
func (e Entry) SharesValue(other Entry) bool {
	return e.Key == other.Key && e.Fleet == other.Fleet && e.Partner == other.Partner && e.Class == other.Class &&
		e.Service == other.Service && e.Route == other.Route && e.Tenant == other.Tenant && e.Exception == other.Exception
}

// contentOnly returns the entry without its revision, and without the author and
// time of an exception.
func (e Entry) contentOnly() Entry {
	e.Revision = 0
	if e.Exception != nil {
		x := *e.Exception
		x.Author, x.At = "", 0
		e.Exception = &x
	}
	return e
}
