package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenarios are the cases by name. Each reports whether the rule held.
var scenarios = map[string]func(f *fleet, trouble bool) (held bool, err error){
	"rollout": playRollout,
	"quota":   playQuota,
	"deadly":  playDeadly,
	"drain":   playDrain,
}

// main plays the case that the first argument names and writes record.txt to the folder that the
// second one names. It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the
// case could not run.
func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER REPOSITORY")
		return 2
	}
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	f, err := newFleet(dir, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if f.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.record.Close()
	defer f.close()
	held, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if !held {
		return 1
	}
	return 0
}
