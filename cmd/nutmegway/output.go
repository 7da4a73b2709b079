package main

import (
	"encoding/json"
	"io"
)

// Values of the flag output.
const (
	outputJSON = "json"
	outputText = "text"
)

// writeOutput writes value as JSON, or calls text to write the text form.
func writeOutput(w io.Writer, output string, value any, text func(io.Writer)) error {
	if output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(w)
	return nil
}
