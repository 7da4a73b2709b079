package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/entry/adminapi"
)

func addStatus(app *kingpin.Application) command {
	cmd := app.Command("status", "Print the members, documents in force and backend servers that an entry host knows.\n\nExample: nutmegway status reviewer")
	service := cmd.Arg("service", "Name of the service; default is all services.").String()
	admin := addAdminFlags(cmd)
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		client, err := admin.client()
		if err != nil {
			return err
		}
		status, err := client.Status(ctx, *service)
		if err != nil {
			return err
		}
		return writeOutput(stdout, admin.output, status, func(w io.Writer) { writeStatus(w, status) })
	}}
}

func writeStatus(w io.Writer, status adminapi.Status) {
	fmt.Fprintf(w, "node=%s availability-zone=%s region=%s state=%s\n", status.ID, status.AvailabilityZone, status.Region, status.State)
	for _, member := range status.Members {
		fmt.Fprintf(w, "member=%s availability-zone=%s state=%s caller-address=%s\n", member.ID, member.AvailabilityZone, member.State, member.CallerAddress)
	}
	for _, service := range status.Services {
		fmt.Fprintf(w, "service=%s kind=%s team=%s revision=%d servers=%d\n", service.Name, service.Kind, service.Team, service.Revision, len(service.Servers))
		for _, server := range service.Servers {
			fmt.Fprintf(w, "server=%s service=%s availability-zone=%s leaving=%t address=%s\n", server.ID, service.Name, server.AvailabilityZone, server.Leaving, server.Address)
		}
	}
}
