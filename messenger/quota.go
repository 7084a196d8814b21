package messenger

import "bambooweir.example/bambooweir/quoter"

// QuotaAsk asks the home of a tenant for grants. It is answered by an Answer with
// OutcomeNotRun, which has a Quota.
type QuotaAsk struct {
	ID CallID `cbor:"1,keyasint"`
	// Asker is the instance that asks.
	Asker string     `cbor:"2,keyasint"`
	Ask   quoter.Ask `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*QuotaAsk) Kind() Kind { return KindQuotaAsk }
