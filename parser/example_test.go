package parser_test

import (
	"fmt"

	"bambooweir.example/bambooweir/parser"
)

func ExampleParse() {
	_, err := parser.Parse("edits.toml", []byte(`
[fleet]
eject-ms = 5
drain-ms = "30s"

[service.catalogue]
partner = "regie"
slot = 16
`))
	fmt.Println(err)
	// Output:
	// edits.toml:3:1: fleet.eject-ms: must be from 100 to 3600000, got 5
	// edits.toml:4:1: fleet.drain-ms: must be a whole number, got the string "30s"
	// edits.toml:8:1: service.catalogue.slot: unknown key, did you mean "slots"?
}
