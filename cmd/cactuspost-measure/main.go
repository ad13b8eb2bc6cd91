// Command cactuspost-measure compares the dispatch policy with its baselines under
// the same simulated loads.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/measure"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:      "cactuspost-measure",
		Usage:     "measure the dispatch policy and its baselines",
		ArgsUsage: "[MEASURE...]",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "run each load with seeds 1 to `N`", Value: 5},
			&cli.DurationFlag{Name: "length", Usage: "time with arrivals in each run, on the virtual clock", Value: 2 * time.Minute},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	size := measure.Size{Length: c.Duration("length")}
	for seed := range c.Int("seeds") {
		size.Seeds = append(size.Seeds, uint64(seed+1))
	}
	tables, err := measure.Run(c.Args().Slice(), size)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(tables)
	}
	for _, t := range tables {
		t.Print(os.Stdout)
	}
	return nil
}
