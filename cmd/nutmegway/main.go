// Command nutmegway runs entry hosts and provides tools for their operators.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
