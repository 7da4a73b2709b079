package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/entry/callerapi"
)

func addAddresses(app *kingpin.Application) command {
	cmd := app.Command("addresses", "Print the entry host addresses that a caller of a service receives.\n\nExample: nutmegway addresses reviewer --entry http://192.0.2.1:7000 --availability-zone waco-a")
	service := cmd.Arg("service", "Name of the service.").Required().String()
	entry := cmd.Flag("entry", "Base URL of an entry host's listener for callers.").Envar("NUTMEGWAY_ENTRY").Required().String()
	zone := cmd.Flag("availability-zone", "Availability zone of the caller; its entry hosts are preferred.").String()
	authority := cmd.Flag("authority", "PEM file of the certificate authority that signed the listener's certificate.").Envar("NUTMEGWAY_AUTHORITY").String()
	output := cmd.Flag("output", "Format of the output: text or json.").Default(outputText).Enum(outputJSON, outputText)
	return command{name: cmd.FullCommand(), run: func(ctx context.Context, stdout, _ io.Writer) error {
		transport, err := newTransport(*authority)
		if err != nil {
			return err
		}
		client := &http.Client{Timeout: adminTimeout, Transport: transport}
		list, err := fetchAddresses(ctx, client, *entry, *service, *zone)
		if err != nil {
			return err
		}
		return writeOutput(stdout, *output, list, func(w io.Writer) {
			for _, address := range list.Addresses {
				fmt.Fprintf(w, "address=%s availability-zone=%s keep-seconds=%g\n", address.Address, address.AvailabilityZone, list.KeepSeconds)
			}
		})
	}}
}

// fetchAddresses requests the address list of a service from an entry host.
func fetchAddresses(ctx context.Context, client *http.Client, entry, service, zone string) (callerapi.AddressList, error) {
	var list callerapi.AddressList
	target := strings.TrimSuffix(entry, "/") + "/v1/services/" + url.PathEscape(service) + "/addresses?availability-zone=" + url.QueryEscape(zone)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return list, kind.Wrap(kind.BadRequest, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return list, kind.Wrap(kind.Unavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return list, httperror.Read(response)
	}
	return list, kind.Wrap(kind.Internal, json.NewDecoder(response.Body).Decode(&list))
}
