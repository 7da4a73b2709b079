// Command nutmegway-lab runs stand-ins for the platform and backend servers, injects
// faults and measures nutmegway.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
