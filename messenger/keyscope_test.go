package messenger

import "testing"

// TestKeyIDSeparatesTenants guards against a tenant that states an idempotency key of another
// one getting the answer to the other's call.
func TestKeyIDSeparatesTenants(t *testing.T) {
	call := Call{Service: "payout-desk", Partner: "magnolia", IdempotencyKey: "k1"}
	ids := make(map[KeyID]string)
	for _, tenant := range []string{"", "north", "south"} {
		call.Tenant = tenant
		if other, ok := ids[call.KeyID()]; ok {
			t.Errorf("tenants %q and %q: got equal ids, want different ones", tenant, other)
		}
		ids[call.KeyID()] = tenant
	}
}
