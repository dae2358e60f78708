package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, and is written to record.txt.
type Record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	// Runs holds how often each request id ran, Rejected how often a worker rejected it.
	Runs, Rejected map[string]int
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begin: time.Now(), file: f, Runs: make(map[string]int), Rejected: make(map[string]int)}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *Record) add(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Run records that a worker runs a request.
func (r *Record) Run(worker, id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs[id]++
	r.add("worker %s runs %s (run %d)", worker, id, r.Runs[id])
	return r.Runs[id]
}

// Reject records that a worker rejects a request without running it.
func (r *Record) Reject(worker, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Rejected[id]++
	r.add("worker %s rejects %s", worker, id)
}

// RunsOf returns how often a request ran.
func (r *Record) RunsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Runs[id]
}
