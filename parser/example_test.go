package parser_test

import (
	"fmt"

	"bambooweir.example/bambooweir/parser"
)

func ExampleParse() {
	_, err := parser.Parse("edits.toml", []byte(`
[fleet]
eject-ms = 5

[route.shares]
partner = "magnolia"
path-prefx = "/shares"
`))
	fmt.Println(err)

	_, err = parser.Parse("edits.toml", []byte(`
[fleet]
eject-ms = 5

[exception.slow]
service = "catalogue"
setting = "eject-ms"
value = 9000
`))
	fmt.Println(err)
	// Output:
	// edits.toml:7:1: route.shares.path-prefx: unknown key, did you mean "path-prefix"?
	// edits.toml:3:1: fleet.eject-ms: must be from 100 to 3600000, got 5
	// edits.toml:5:12: exception.slow.reason: is required
}
