// Command standin plays the cases of the review: it starts the daemons as processes of
// their own, and stands in for the platform, the upstreams and the consumers.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) bool{
	"hang":      hang,
	"uploads":   uploads,
	"late-ping": latePing,
	"deadly":    deadly,
	"together":  together,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	rec := &record{w: out, start: time.Now()}
	time.AfterFunc(115*time.Second, func() { fail("the case took too long") })
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	out.Close()
	if broken {
		os.Exit(1)
	}
}
