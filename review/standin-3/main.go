// Command review3 plays the scripts of the third independent review. Each case starts processes
// of the system with stand-ins of the store, the workers and the clients on loopback addresses.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *Record, trouble bool) (broken bool, err error){
	"refused":  caseRefused,
	"revoke":   caseRevoke,
	"foreign":  caseForeign,
	"strayrow": caseStrayRow,
	"poison":   casePoison,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	rec, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		rec.Add("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.Add("the rule held")
	fmt.Println("the rule held")
}
