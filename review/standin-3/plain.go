package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// startPlain starts a system with three plain workers. It returns the store too.
func startPlain(rec *Record, handle func(*Worker, net.Conn, *http.Request, []byte) bool) (*System, *Store, error) {
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return nil, nil, err
	}
	for i := range 3 {
		w, err := StartWorker(rec, "127.0.0.1", fmt.Sprintf("i-%d", i+1), "wuno96b", []string{"brno-a", "brno-b", "brno-c"}[i], 6, handle)
		if err != nil {
			return nil, store, err
		}
		store.Put("servers", w.ID, w.Entry("ready", 1))
	}
	store.Put("op", "config", plainConfig(7))
	sys, err := StartSystem(7, store.Addr)
	if err != nil {
		return sys, store, err
	}
	return sys, store, sys.WaitReady(15 * time.Second)
}
