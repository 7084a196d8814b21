package measurer

import (
	"context"
	"crypto/rand"
	"time"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/versioner"
)

const (
	ownerPartner = "magnolia"
	guestPartner = "regie"
)

// callEntries is the configuration of the fleets in which calls are measured.
func callEntries(slots int) []versioner.Entry {
	entries := []versioner.Entry{
		partner(ownerPartner), partner(guestPartner),
		service(targetService, slots), service(localService, slots),
		route("local", "/local/lookup", localService, ownerPartner, versioner.ClassLookup),
		route("guest", "/guest/lookup", targetService, guestPartner, versioner.ClassLookup),
	}
	for _, class := range callClasses {
		entries = append(entries, route(class, "/"+class, targetService, ownerPartner, class))
	}
	return entries
}

var callClasses = []string{
	versioner.ClassInternalRead, versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan,
}

func partner(name string) versioner.Entry {
	return versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindPartner, Name: name},
		Partner: &versioner.Partner{SharePercent: 50},
	}
}

func service(name string, slots int) versioner.Entry {
	return versioner.Entry{
		Key:     versioner.Key{Kind: versioner.KindService, Name: name},
		Service: &versioner.Service{Partner: ownerPartner, Slots: slots, Connections: 130},
	}
}

func route(name, path, service, partner, class string) versioner.Entry {
	return versioner.Entry{
		Key:   versioner.Key{Kind: versioner.KindRoute, Name: name},
		Route: &versioner.Route{Partner: partner, PathPrefix: path, Service: service, Class: class},
	}
}

// lookupClass returns the entry that sets a lookup's timeout and hedging.
func lookupClass(timeoutMS, hedgeMS int) versioner.Entry {
	return versioner.Entry{
		Key:   versioner.Key{Kind: versioner.KindClass, Name: versioner.ClassLookup},
		Class: &versioner.Class{TimeoutMS: &timeoutMS, HedgeMS: &hedgeMS},
	}
}

func (f *callFleet) accept(ctx context.Context, entries ...versioner.Entry) error {
	change := acceptor.Change{
		Audit:   versioner.Audit{ChangeID: rand.Text(), Author: "measurer", Partner: ownerPartner, Reason: "measurement"},
		Upserts: entries,
	}
	_, err := f.acceptor.Accept(ctx, change)
	if err == nil {
		f.changes.Add(1)
	}
	return err
}

// keepChanging accepts versions at a fixed rate until ctx ends.
func (f *callFleet) keepChanging(ctx context.Context, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			// Each change differs from the one before.
			_ = f.accept(ctx, lookupClass(2000+int(f.changes.Load()%2), 0))
		}
	}
}
