package measurer

import (
	"context"
	"crypto/rand"
	"time"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/versioner"
)

const (
	// ownerPartner owns the services; guestPartner owns only a route to one.
	ownerPartner = "magnolia"
	guestPartner = "regie"
)

// callEntries returns the configuration of the fleets in which calls are
// measured: two services whose targets have that many slots, a route to
// targetService for each class, a route to localService, and a route of
// guestPartner to targetService.
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

// callClasses lists the classes of calls that can be measured; callEntries has a route
// for each.
var callClasses = []string{
	versioner.ClassInternalRead, versioner.ClassLookup, versioner.ClassPosting, versioner.ClassScan,
}

// partner returns the entry of a partner that is guaranteed half of the shared
// capacity.
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

// lookupClass returns the entry that sets the timeout and the hedging delay of
// lookups; a delay of 0 disables hedging.
func lookupClass(timeoutMS, hedgeMS int) versioner.Entry {
	return versioner.Entry{
		Key:   versioner.Key{Kind: versioner.KindClass, Name: versioner.ClassLookup},
		Class: &versioner.Class{TimeoutMS: &timeoutMS, HedgeMS: &hedgeMS},
	}
}

// accept commits the entries as a new version of the configuration.
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

// acceptPeriodically accepts new versions at a fixed rate until ctx is done.
func (f *callFleet) acceptPeriodically(ctx context.Context, perSecond float64) {
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
			// The timeout alternates, so that each change differs from the
			// previous one.
			_ = f.accept(ctx, lookupClass(2000+int(f.changes.Load()%2), 0))
		}
	}
}
