package applier

import (
	"crypto/sha256"
	"encoding/hex"

	"bambooweir.example/bambooweir/versioner"
)

// Tenant is one tenant with its configuration.
type Tenant struct {
	Name   string
	Config *versioner.Tenant
}

// HasQuota reports whether the calls of the tenant are limited.
func (t *Tenant) HasQuota() bool { return t.Config.RatePerS > 0 }

// NameOrNone returns the tenant's name, or "" if t is nil.
func (t *Tenant) NameOrNone() string {
	if t == nil {
		return ""
	}
	return t.Name
}

// tenantIndex finds tenants by API key and by name. It is never changed once it is built.
type tenantIndex struct {
	// byKey maps the SHA-256 of an API key to its tenant. A lookup by digest says nothing
	// about other keys by the time that it takes.
	byKey  map[[sha256.Size]byte]*Tenant
	byName map[string]*Tenant
}

// newTenantIndex indexes the tenants of a document.
func newTenantIndex(doc *versioner.Document) *tenantIndex {
	tenants, keys := 0, 0
	for _, e := range doc.Entries {
		if e.Tenant != nil {
			tenants++
			keys += len(e.Tenant.KeySHA256)
		}
	}
	x := &tenantIndex{byKey: make(map[[sha256.Size]byte]*Tenant, keys), byName: make(map[string]*Tenant, tenants)}
	for _, e := range doc.Entries {
		if e.Tenant == nil {
			continue
		}
		t := &Tenant{Name: e.Key.Name, Config: e.Tenant}
		x.byName[t.Name] = t
		for _, key := range e.Tenant.KeySHA256 {
			var digest [sha256.Size]byte
			// A valid document holds only whole digests.
			_, _ = hex.Decode(digest[:], []byte(key))
			x.byKey[digest] = t
		}
	}
	return x
}

// HasTenants reports whether the configuration defines tenants, so that calls on routes
// that are not public need an API key.
func (s *Snapshot) HasTenants() bool { return len(s.tenants.byName) > 0 }

// Tenant returns the tenant that holds the API key, or nil.
func (s *Snapshot) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return s.tenants.byKey[sha256.Sum256([]byte(key))]
}

// TenantByName returns the tenant with the name, or nil.
func (s *Snapshot) TenantByName(name string) *Tenant { return s.tenants.byName[name] }
