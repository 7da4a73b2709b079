// Command standin runs one case of the review: it starts the store, the servers and the
// clients of a small deployment and the hosts as processes of their own. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(*fleet) (broken string){}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER TROUBLE, where a TROUBLE of 0 leaves the disruption out")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f := &fleet{dir: dir, record: &record{file: file, start: time.Now()}, store: newStore(), trouble: os.Args[3] != "0"}
	defer func() {
		f.stop()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs in", dir)
		}
		if p := recover(); p != nil {
			cannot, ok := p.(errCannotRun)
			if !ok {
				panic(p)
			}
			f.record.printf("the case could not run: %v", cannot)
			fmt.Println("could not run:", cannot)
			code = 2
		}
	}()
	broken := cases[os.Args[1]](f)
	if broken == "" {
		f.record.printf("the rule held")
		fmt.Println("held")
		return 0
	}
	f.record.printf("the rule was broken: %s", broken)
	fmt.Println("broken:", broken)
	return 1
}
