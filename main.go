// Command bambooweir runs a daemon of a service mesh, or one of the operators'
// tools.
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
