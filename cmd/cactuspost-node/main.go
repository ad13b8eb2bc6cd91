// Command cactuspost-node runs an entry or an agent on the users' platform. What
// the platform says comes through package platform; the rest is the product.
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

// lastLines bounds the writing of the last lines at the end of a process.
const lastLines = 100 * time.Millisecond

// processors is the number of the Go runtime's processors: one for each event
// loop of the network library, which holds it while it waits in the kernel, and
// one for everything else. With fewer, everything else waits until the runtime's
// monitor takes a processor back from a loop.
const processors = 4

func main() {
	runtime.GOMAXPROCS(max(processors, runtime.NumCPU()))
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
			role("entry", "take jobs of clients and hand their tasks to agents", runEntry),
			role("agent", "run tasks at the worker on the same machine", runAgent),
		},
	}
}

// node is what both roles need.
type node struct {
	settings *settings.Node
	platform *platform.Settings
	log      *logging.Logger
	// stops yields the requests for a planned stop.
	stops <-chan os.Signal
}

func start(ctx context.Context, role, file string, check bool, run func(context.Context, *node) error) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "read the settings")
	}
	own, err := settings.LoadNode(raw)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("the settings are valid")
		return nil
	}
	given, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	log, bounded := logging.NewBounded(os.Stdout, own.LogLevel, zap.String("role", role), zap.String("node", given.Node))
	defer bounded.Close(lastLines)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go reload(log)
	return run(ctx, &node{settings: own, platform: given, log: log, stops: stops})
}

// reload reads the platform's settings again when it says that they have
// changed. The addresses of a process stay for its life, so the new text is
// checked and noted.
func reload(log *logging.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	for range hups {
		if _, err := platform.LoadSettings(); err != nil {
			log.Event(event.SettingsRefused, zap.String("error", err.Error()))
			continue
		}
		log.Event(event.SettingsReloaded)
	}
}
