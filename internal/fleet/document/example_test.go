package document_test

import (
	"fmt"

	"github.com/nutmegway/nutmegway/internal/fleet/document"
)

func ExampleParse() {
	d, mistakes := document.Parse([]byte(`[service]
kind = plain
name = portal
team = halvorsen

[retry]
default = always

[repeat "POST /bookings"]
repeat = never
`))
	fmt.Println(len(mistakes), d.Retry.RepeatFor("POST", "/bookings/7"), d.Retry.RepeatFor("GET", "/plots"))
	// Output: 0 never always
}

func ExampleParse_mistakes() {
	_, mistakes := document.Parse([]byte("[service]\nkind = plain\nname = portal\nteam = halvorsen\n[retry]\nbudget = -1\ncolour = red\n"))
	for _, mistake := range mistakes {
		fmt.Println(mistake)
	}
	// Output:
	// document:6: retry.budget: found "-1", allowed: a number from 0 to 1
	// document:7: retry.colour: found "colour", allowed: a key that the reference lists
}
