package acceptor_test

import (
	"context"
	"errors"
	"fmt"

	"bambooweir.example/bambooweir/acceptor"
	"bambooweir.example/bambooweir/fakestorer"
	"bambooweir.example/bambooweir/versioner"
)

// Two editors change the same entry, based on the same version. The second change
// fails with a conflict instead of overwriting the first.
func Example() {
	ctx := context.Background()
	a := &acceptor.Acceptor{Store: new(fakestorer.Store)}
	edit := func(id, author string, base versioner.Version, share int) acceptor.Change {
		return acceptor.Change{
			Audit: versioner.Audit{ChangeID: id, Author: author, Reason: "renegotiated"},
			Base:  base,
			Upserts: []versioner.Entry{{
				Key:     versioner.Key{Kind: versioner.KindPartner, Name: "magnolia"},
				Partner: &versioner.Partner{SharePercent: share},
			}},
		}
	}

	v, err := a.Accept(ctx, edit("one", "ada", 0, 50))
	fmt.Println("version", v, err)
	v, err = a.Accept(ctx, edit("two", "ada", 1, 60))
	fmt.Println("version", v, err)
	// The answer to the second change was lost, so it is repeated.
	v, err = a.Accept(ctx, edit("two", "ada", 1, 60))
	fmt.Println("version", v, err)

	_, err = a.Accept(ctx, edit("three", "ben", 1, 40))
	var conflict *acceptor.ConflictError
	if errors.As(err, &conflict) {
		fmt.Println("conflict:", conflict.By, "set", conflict.Current.Partner.SharePercent, "in version", conflict.ChangedIn)
	}
	// Output:
	// version 1 <nil>
	// version 2 <nil>
	// version 2 <nil>
	// conflict: ada set 60 in version 2
}
