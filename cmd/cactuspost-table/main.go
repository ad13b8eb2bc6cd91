// Command cactuspost-table runs an in-memory stand-in of the platform's table
// service, for running the daemons on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/standin"
)

func main() {
	app := &cli.Command{
		Name:   "cactuspost-table",
		Usage:  "run a stand-in of the platform's table service, in memory",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "listen", Usage: "listen on `IP:PORT`", Value: "127.0.0.1:7001"}},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c.String("listen")) },
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, address string) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	server, err := standin.Serve(standin.NewTable(), address)
	if err != nil {
		return err
	}
	fmt.Printf("table stand-in on http://%s\n", server.Address())
	<-ctx.Done()
	server.Close()
	return nil
}
