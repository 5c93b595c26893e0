// Command second runs the cases of the second review: each starts a small deployment of routers and loaders on
// loopback addresses, with stand-ins of the store, the origin, the runners and the clients.
//
//	second CASE FOLDER
//
// It writes record.txt into the folder. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*fleet) (int, error){
	"entry":    entryCase,
	"manifest": manifestCase,
	"memory":   memoryCase,
	"part":     partCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*fleet) (int, error), folder string) int {
	f, err := newFleet(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.end()
	code, err := play(f)
	if err != nil {
		f.log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
