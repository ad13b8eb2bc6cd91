// Command cactuspost-node runs an entry or an agent on the users' platform. Package
// platform adapts the platform's formats and calls.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
	"cactuspost.example/platform"
)

// logFlushTimeout is the timeout for flushing the log when the process exits.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	// The default may be higher, since it follows limits of the operating system that
	// don't hold for the machine. An event loop of the network library occupies a
	// processor while it waits in the kernel, until the runtime's monitor thread takes
	// it. Where another processor is idle, that thread wakes up for 10 ms before it
	// does, several times a millisecond, which costs more than all the work of an idle
	// process.
	runtime.GOMAXPROCS(runtime.NumCPU())
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Value: "deploy/node.jsonc"},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
	role := func(name, usage string, run func(context.Context, *node) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, Flags: flags, Action: func(ctx context.Context, c *cli.Command) error {
			return start(ctx, name, c.String("settings"), c.Bool("check"), run)
		}}
	}
	return &cli.Command{
		Name: "cactuspost-node", Usage: "run the dispatcher on the users' platform",
		Commands: []*cli.Command{
			role("entry", "accept jobs from clients and dispatch their tasks to agents", runEntry),
			role("agent", "run tasks on the worker on the same machine", runAgent),
		},
	}
}

// node holds what both roles need.
type node struct {
	settings *settings.Node
	platform *platform.Settings
	log      *logging.Logger
	// stopSignals receives the signals that request the planned stop.
	stopSignals <-chan os.Signal
}

func start(ctx context.Context, role, file string, check bool, run func(context.Context, *node) error) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "read the settings")
	}
	nodeSettings, err := settings.LoadNode(raw)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("the settings are valid")
		return nil
	}
	platformSettings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	log, boundedLog := logging.NewBounded(os.Stdout, nodeSettings.LogLevel, zap.String("role", role), zap.String("node", platformSettings.Node))
	defer boundedLog.Close(logFlushTimeout)
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	go checkOnReload(log)
	return run(ctx, &node{settings: nodeSettings, platform: platformSettings, log: log, stopSignals: stopSignals})
}

// checkOnReload checks the platform's settings file on SIGHUP, which the platform
// sends when the file has changed. The addresses of a process never change while it
// runs, so the new contents are only validated and the result is logged.
func checkOnReload(log *logging.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		if _, err := platform.LoadSettings(); err != nil {
			log.Event(event.SettingsRefused, zap.String("error", err.Error()))
			continue
		}
		log.Event(event.SettingsReloaded)
	}
}
