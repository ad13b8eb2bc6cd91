// Command cactuspost is the command-line client for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactuspost.example/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
