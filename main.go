// Command bambooweir runs the daemons of a service mesh and the tools of their
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bambooweir.example/bambooweir/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Execute(ctx)
	stop()
	os.Exit(code)
}
