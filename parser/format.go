package parser

import (
	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"bambooweir.example/bambooweir/versioner"
)

// Format returns the file that Parse reads as the whole document, with the
// document's version as base. It can be edited and applied.
func Format(doc *versioner.Document) ([]byte, error) {
	out := file{
		BaseVersion: doc.Version,
		Partner:     make(map[string]versioner.Partner),
		Class:       make(map[string]versioner.Class),
		Service:     make(map[string]versioner.Service),
		Route:       make(map[string]versioner.Route),
		Exception:   make(map[string]versioner.Exception),
	}
	for _, e := range doc.Entries {
		out.set(e)
	}
	b, err := toml.Marshal(out)
	if err != nil {
		return nil, errorx.Decorate(err, "writing version %d", doc.Version)
	}
	return b, nil
}

func (f *file) set(e versioner.Entry) {
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
	case e.Exception != nil:
		f.Exception[e.Key.Name] = *e.Exception
	}
}
