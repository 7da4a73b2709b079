package main

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/swap"
)

func addMeasureSwapCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("swap", "Measure the time until all engines serve a published weight version.")
	flags := addReportFlags(c)
	sizes := c.Flag("servers", "Numbers of engines, separated by commas.").Default("10,40,160").String()
	return command{name: "measure swap", run: func(ctx context.Context, stdout, _ io.Writer) error {
		m := swap.Measure{Seed: flags.seed}
		for field := range strings.SplitSeq(*sizes, ",") {
			size, err := strconv.Atoi(field)
			if err != nil || size < 1 {
				return kind.New(kind.BadRequest, "flag --servers: got %q, want a positive number of servers", field)
			}
			m.Sizes = append(m.Sizes, size)
		}
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
