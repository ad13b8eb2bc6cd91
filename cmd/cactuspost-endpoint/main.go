// Command cactuspost-endpoint is a sample endpoint. Its tasks sleep instead of
// doing work. It counts how often each task was started and serves the counts at
// /starts and /totals.
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
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cactuspost-endpoint",
		Usage: "run sample tasks over HTTP",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` for tasks, IP:port", Value: "127.0.0.1:7300"},
			&cli.FloatFlag{Name: "run-time-factor", Aliases: []string{"speed"}, Usage: "multiply each task's run time by this", Value: 1},
			&cli.BoolFlag{Name: "fail-all", Usage: "fail every task at once"},
		},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	endpoint, err := standin.StartEndpoint(standin.EndpointOptions{
		Listen:    c.String("listen"),
		Behaviour: standin.EndpointBehaviour{RunTimeFactor: c.Float("run-time-factor"), FailAll: c.Bool("fail-all")},
	})
	if err != nil {
		return err
	}
	fmt.Println("listening on", endpoint.Address())
	<-signals
	endpoint.Stop()
	return nil
}
