package main

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/controlcost"
)

func addMeasureControlCostCommand(measure *kingpin.CmdClause) command {
	c := measure.Command("control-cost", "Measure the cost of coordination between entry hosts; the nodes of one deployment size share one process.")
	flags := addReportFlags(c)
	m := controlcost.Measure{}
	var sizes string
	c.Flag("nodes", "Numbers of entry hosts, separated by commas.").Default("20,60,180").StringVar(&sizes)
	c.Flag("young", "Measure in the first seconds after the nodes start.").BoolVar(&m.JustStarted)
	return command{name: "measure control-cost", run: func(ctx context.Context, stdout, _ io.Writer) error {
		for field := range strings.SplitSeq(sizes, ",") {
			size, err := strconv.Atoi(field)
			if err != nil || size < 1 {
				return kind.New(kind.BadRequest, "flag --nodes: got %q, want a positive number of nodes", field)
			}
			m.Sizes = append(m.Sizes, size)
		}
		r, err := m.Run(ctx)
		return flags.finish(stdout, r, err)
	}}
}
