package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

func main() {
	cases := map[string]func(*record) int{
		"memory":  caseMemory,
		"copies":  caseCopies,
		"late":    caseLate,
		"silence": caseSilence,
		"tainted": caseTainted,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	go runStarts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		notRun("ended from outside")
	}()
	time.AfterFunc(longest, func() { notRun("not done after %v", longest) })
	exit(cases[os.Args[1]](newRecord(os.Args[2])))
}
