package parser

import (
	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"bambooweir.example/bambooweir/versioner"
)

// Format returns a configuration file that sets every entry of the document, with
// the document's version as base version. Operators can edit and apply it.
func Format(doc *versioner.Document) ([]byte, error) {
	out := file{
		BaseVersion: doc.Version,
		Partner:     make(map[string]versioner.Partner),
		Class:       make(map[string]versioner.Class),
		Service:     make(map[string]versioner.Service),
		Route:       make(map[string]versioner.Route),
		Tenant:      make(map[string]versioner.Tenant),
		Exception:   make(map[string]versioner.Exception),
	}
	for _, e := range doc.Entries {
		out.setEntry(e)
	}
	b, err := toml.Marshal(out)
	if err != nil {
		return nil, errorx.Decorate(err, "writing version %d", doc.Version)
	}
	return b, nil
}

// setEntry adds an entry to the file.
func (f *file) setEntry(e versioner.Entry) {
	switch {
	case e.Fleet != nil:
		f.Fleet = e.Fleet
	case e.Partner != nil:
		f.Partner[e.Key.Name] = *e.Partner
	case e.Class != nil:
		f.Class[e.Key.Name] = *e.Class
	case e.Service != nil:
		f.Service[e.Key.Name] = *e.Service
	case e.Route != nil:
		f.Route[e.Key.Name] = *e.Route
	case e.Tenant != nil:
		f.Tenant[e.Key.Name] = *e.Tenant
	case e.Exception != nil:
		f.Exception[e.Key.Name] = *e.Exception
	}
}
