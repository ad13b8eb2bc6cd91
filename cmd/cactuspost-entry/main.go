// Command cactuspost-entry runs one entry: it accepts jobs from callers and
// dispatches their tasks to the agents of the endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"cactuspost.example/internal/entryd"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/table"
)

// tableTimeout is the timeout of calls to the platform's table service that
// specify none.
const tableTimeout = 2 * time.Second

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cactuspost-entry",
		Usage: "run an entry of the dispatcher",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"), c.Bool("check"))
		},
	}
}

func run(ctx context.Context, file string, check bool) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "read the settings")
	}
	loaded, err := settings.LoadEntry(raw)
	if err != nil {
		logging.New(os.Stderr, event.Info).Event(event.SettingsRefused, zap.String("error", err.Error()))
		return err
	}
	if check {
		fmt.Println("the settings are valid")
		return nil
	}
	config, err := entryConfig(ctx, loaded)
	if err != nil {
		return err
	}
	return serve(ctx, config)
}

// serve runs the entry until a signal stops it and the planned stop is complete.
func serve(ctx context.Context, config entryd.Config) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	daemon, err := entryd.Start(ctx, config)
	if err != nil {
		config.Log.Event(event.ListenFailed, zap.String("error", err.Error()))
		return err
	}
	stopping := false
	for {
		select {
		case <-daemon.Done():
			return nil
		case <-signals:
			if stopping {
				config.Log.Event(event.SecondStopIgnored)
			}
			stopping = true
			daemon.Stop()
		}
	}
}

func entryConfig(ctx context.Context, s *settings.Entry) (entryd.Config, error) {
	certificate, err := entryd.LoadTLS(ctx, s.TLS)
	if err != nil {
		return entryd.Config{}, err
	}
	config := entryd.FromSettings(s)
	config.TLS = certificate
	config.Settle = entryd.DefaultSettle
	config.Store = table.NewClient(s.TableAddress, tableTimeout)
	config.Log = logging.New(os.Stderr, s.LogLevel).With(zap.String("daemon", s.Name))
	return config, nil
}
