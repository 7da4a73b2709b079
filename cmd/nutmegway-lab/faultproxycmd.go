package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/standin/faultproxy"
)

// faultProxyFlags holds the flags of the command faultproxy. links maps the name of each
// link to the address that it forwards to. random is the number of random faults within
// length; it is ignored if script names a file.
type faultProxyFlags struct {
	length time.Duration
	links  map[string]string
	random int
	script string
	seed   uint64
}

func addFaultProxyCommand(app *kingpin.Application) command {
	c := app.Command("faultproxy", "Forward TCP connections and inject faults from a script or at random.")
	f := &faultProxyFlags{}
	c.Flag("length", "Time over which random faults are spread.").Default("30s").DurationVar(&f.length)
	c.Flag("link", "Name of a link and the address that it forwards to.").PlaceHolder("NAME=ADDRESS").Required().StringMapVar(&f.links)
	c.Flag("random", "Number of random faults.").IntVar(&f.random)
	c.Flag("script", "File with a fault on each line: AT LINK ACTION [VALUE].").ExistingFileVar(&f.script)
	c.Flag("seed", "Seed of the random faults.").Default("1").Uint64Var(&f.seed)
	return command{name: "faultproxy", run: f.run}
}

// run forwards the connections of all links and injects the faults until ctx ends.
func (f *faultProxyFlags) run(ctx context.Context, stdout, _ io.Writer) error {
	names := make([]string, 0, len(f.links))
	for name := range f.links {
		names = append(names, name)
	}
	slices.Sort(names)
	steps, err := f.steps(names)
	if err != nil {
		return err
	}
	links := map[string]*faultproxy.Proxy{}
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range names {
		proxy := &faultproxy.Proxy{Target: f.links[name]}
		if err := proxy.Listen(); err != nil {
			return err
		}
		links[name] = proxy
		fmt.Fprintf(stdout, "listening link=%s address=%s\n", name, proxy.Address)
		group.Go(func() error { return proxy.Run(ctx) })
	}
	group.Go(func() error { return faultproxy.RunScript(ctx, steps, links) })
	return group.Wait()
}

// steps returns the faults of the script, or random faults if no script is given.
func (f *faultProxyFlags) steps(links []string) ([]faultproxy.Step, error) {
	if f.script == "" {
		return faultproxy.RandomScript(f.seed, links, f.random, f.length), nil
	}
	file, err := os.Open(f.script)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // The file was only read.
	return faultproxy.ParseScript(file)
}
