// Command cactuspost-agent runs beside one endpoint. It takes tasks from the
// entries, hands them to the endpoint and returns their results.
//
// SIGTERM and SIGINT begin the planned stop: running tasks are finished, their
// results are delivered, and the process exits with status 0. It exits with
// status 1 if the settings file is invalid or an address is in use.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/agentd"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cactuspost-agent",
		Usage: "run the tasks of one endpoint",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	config, err := loadConfig(c.String("settings"))
	if err != nil || c.Bool("check") {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	daemon, err := agentd.Start(ctx, config)
	if err != nil {
		return err
	}
	go stopOnSignal(daemon, signals, config.Log)
	return daemon.Wait()
}

func loadConfig(path string) (agentd.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return agentd.Config{}, errors.WithStack(err)
	}
	agent, err := settings.LoadAgent(raw)
	if err != nil {
		return agentd.Config{}, err
	}
	config := agentd.Config{Agent: *agent, Log: logging.New(os.Stderr, agent.LogLevel)}
	return config, config.Check()
}

// stopOnSignal begins the planned stop at the first signal. Further signals are
// only logged.
func stopOnSignal(daemon *agentd.Daemon, signals <-chan os.Signal, log *logging.Logger) {
	<-signals
	daemon.Stop()
	for range signals {
		log.Event(event.SecondStopIgnored)
	}
}
