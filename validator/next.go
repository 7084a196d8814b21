package validator

import (
	"slices"

	"bambooweir.example/bambooweir/versioner"
)

// compare sets isShared by the valid document that came before. It leaves it nil if that lacks
// or has partners or services in addition, to which unchanged entries may refer.
func (c *checker) compare(valid *versioner.Document) {
	if valid == nil || !slices.Equal(referredKeys(valid), referredKeys(c.doc)) {
		return
	}
	c.isShared = make([]bool, len(c.doc.Entries))
	before := valid.Entries
	for i, e := range c.doc.Entries {
		for len(before) > 0 && before[0].Key.Compare(e.Key) < 0 {
			before = before[1:]
		}
		c.isShared[i] = len(before) > 0 && before[0].SharesValue(e)
	}
}

// areShared reports whether all entries of the kind were checked before.
func (c *checker) areShared(kind versioner.Kind) bool {
	if c.isShared == nil {
		return false
	}
	for i, e := range c.doc.Entries {
		if e.Key.Kind == kind && !c.isShared[i] {
			return false
		}
	}
	return true
}

// referredKeys returns the keys of the entries to which others refer.
func referredKeys(doc *versioner.Document) []versioner.Key {
	var keys []versioner.Key
	for _, e := range doc.Entries {
		if e.Partner != nil || e.Service != nil {
			keys = append(keys, e.Key)
		}
	}
	return keys
}
