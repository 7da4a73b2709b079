package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"
)

// The verdicts of a case are the exit codes of its script.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 115 * time.Second
)

var cases = map[string]func(*world) int{}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE BINARY RECORD")
		return couldNot
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return couldNot
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		return couldNot
	}
	w := &world{binary: binary, folder: folder, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", cores: 1, store: newStore()}
	listener, _ := w.serve(w.ip(1), w.store)
	w.storeAddr = listener.Addr().String()
	defer w.close()
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(cannotRun); !ok {
				fmt.Fprintln(os.Stderr, p)
				debug.PrintStack()
			}
			code = couldNot
		}
	}()
	done := make(chan int, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				failed <- p
			}
		}()
		done <- run(w)
	}()
	select {
	case code = <-done:
	case p := <-failed:
		panic(p)
	case <-time.After(timeLimit):
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		code = couldNot
	}
	w.note("verdict: %d (0 held, 1 broken, 2 could not run)", code)
	return code
}
