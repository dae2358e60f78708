// Command review2 runs the cases of the second independent review: it starts stand-ins of the
// platform's store, of workers and of clients, and the project's own processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// environment is what a case has.
type environment struct {
	rec     *record
	dir     string
	store   *store
	workers *workers
	sys     *system
	trouble bool
	// spares is the number of machines that may be added.
	spares int
}

var cases = map[string]func(*environment) (int, error){
	"deadline": deadlineCase,
	"leave":    leaveCase,
	"machines": machinesCase,
	"extra":    extraCase,
	"crash":    crashCase,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		serveAsProcess(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	st, err := startStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	e := &environment{rec: rec, dir: dir, store: st, trouble: os.Getenv("TROUBLE") != "0"}
	e.workers = &workers{rec: rec, store: st, runs: make(map[string][]run)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		e.end()
		os.RemoveAll(dir)
		os.Exit(failed)
	}()
	rec.logf("case %s, trouble %v", name, e.trouble)
	code, err := cases[name](e)
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = failed
	}
	if logs := os.Getenv("KEEP_LOGS"); logs != "" && e.sys != nil {
		for _, m := range e.sys.machines {
			if b, err := os.ReadFile(m.logPath); err == nil {
				os.WriteFile(filepath.Join(logs, m.name+".log"), b, 0o600)
			}
		}
	}
	e.end()
	rec.say("exit code %d", code)
	return code
}

// end ends all processes of the system.
func (e *environment) end() {
	if e.sys != nil {
		e.sys.stop()
	}
}

// start writes the configuration and starts the system with n machines. The first answers of
// all machines are awaited by the case.
func (e *environment) start(n int, routes, services []map[string]any) error {
	e.store.put("op", "config", map[string]any{
		"Version": 7, "Routes": routes, "Services": services,
		"Limits":  map[string]int{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "hule930", "ApiKeys": []string{tenantKey}}},
	})
	var err error
	e.sys, err = startSystem(e.rec, e.dir, e.store, n, e.spares)
	return err
}

// plainService describes a service without models.
func plainService(name string, maxConns int) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": maxConns, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0}
}
