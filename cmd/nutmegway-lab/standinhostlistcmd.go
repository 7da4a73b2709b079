package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	platform "github.com/nutmegway/nutmegway/internal/external/hostlist"
	"github.com/nutmegway/nutmegway/internal/standin/hostlist"
)

func addStandinHostlistCommand(standin *kingpin.CmdClause) command {
	c := standin.Command("hostlist", "Run a stand-in for the host list.")
	s := &hostlist.Server{}
	var file string
	c.Flag("hosts", "JSON file with the list of hosts.").Required().ExistingFileVar(&file)
	c.Flag("lag", "Delay until a change becomes visible.").Default("0s").DurationVar(&s.Lag)
	c.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&s.ListenAddress)
	return command{name: "standin hostlist", run: func(ctx context.Context, stdout, _ io.Writer) error {
		hosts, err := readHosts(file)
		if err != nil {
			return err
		}
		s.Set(hosts...)
		return serveStandin(ctx, stdout, s, s.URL)
	}}
}

// readHosts reads a host list from a JSON file.
func readHosts(file string) ([]platform.Host, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list platform.List
	err = json.Unmarshal(data, &list)
	return list.Hosts, err
}
