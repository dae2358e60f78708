package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The trouble of the case: srv_crash with share 0.17 for 4.5 s, as a day of the site has it: one of six workers.
const (
	crashWorkers = 6
	crashTime    = 4500 * time.Millisecond
	crashEvents  = 25
	crashPause   = 40 * time.Millisecond
	crashRate    = 20
)

// serveAsProcess is the process of one worker. Its streams have neither a length nor chunks and end
// with their channels. It prints a line for each run.
func serveAsProcess(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	say("address %s", l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if _, err := io.ReadAll(r.Body); err != nil {
				return
			}
			request := r.Header.Get("Request-Id")
			if r.Header.Get("Expect-Instance") != id {
				fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request, id)
				return
			}
			say("run %s", request)
			time.Sleep(50 * time.Millisecond)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request, id, request)
			for n := 1; n <= crashEvents; n++ {
				if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s-%d\n\n", n, request, n); err != nil {
					return
				}
				time.Sleep(crashPause)
			}
			say("end %s", request)
		}()
	}
}

// workerProcess is a worker that runs as a process of its own.
type workerProcess struct {
	id, zone, address string
	born              int64
	cmd               *exec.Cmd
	alive             bool
	active            int // streams that it has begun to run and not ended
}

// crashCase: workers whose answers end with their channels crash.
func crashCase(e *environment) (int, error) {
	var mu sync.Mutex
	runs := make(map[string][]string)
	var all []*workerProcess
	defer func() {
		for _, w := range all {
			w.cmd.Process.Kill()
			w.cmd.Wait()
		}
	}()
	self, err := os.Executable()
	if err != nil {
		return failed, err
	}
	start := func(id, zone string) (*workerProcess, error) {
		w := &workerProcess{id: id, zone: zone, born: time.Now().UnixMilli(), alive: true, cmd: exec.Command(self, "worker", id)}
		w.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		out, err := w.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := w.cmd.Start(); err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(out)
		if !lines.Scan() {
			return nil, fmt.Errorf("worker %s did not start", id)
		}
		w.address = strings.TrimPrefix(lines.Text(), "address ")
		e.rec.logf("worker %s started at %s, process %d", id, w.address, w.cmd.Process.Pid)
		go func() {
			for lines.Scan() {
				e.rec.logf("worker %s: %s", id, lines.Text())
				mu.Lock()
				if request, ok := strings.CutPrefix(lines.Text(), "run "); ok {
					runs[request] = append(runs[request], id)
					w.active++
				} else {
					w.active--
				}
				mu.Unlock()
			}
		}()
		go func() {
			for sequence := 1; ; sequence++ {
				mu.Lock()
				alive := w.alive
				mu.Unlock()
				if !alive {
					return
				}
				e.store.put("servers", id, map[string]any{
					"Service": "draft-desk", "Address": w.address, "Zone": zone, "Version": "v1", "Slots": 26,
					"State": "ready", "ColdLeftMs": 0, "Sequence": sequence, "born": w.born,
				})
				time.Sleep(heartbeat)
			}
		}()
		return w, nil
	}
	for i := range crashWorkers {
		w, err := start(fmt.Sprintf("i-44ad7f%d0", i), zones[i%3])
		if err != nil {
			return failed, err
		}
		all = append(all, w)
	}
	time.Sleep(100 * time.Millisecond)
	routes := []map[string]any{{"Name": "r-draft", "Host": "desk.example", "Prefix": "/draft/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 300, "Priority": 1, "Service": "draft-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": true, "GapAimMs": 300}}
	if err := e.start(3, routes, []map[string]any{plainService("draft-desk", 334)}); err != nil {
		return failed, err
	}
	var wg sync.WaitGroup
	whole, brokenOff, early, other := 0, 0, 0, 0
	request := func(n int) {
		defer wg.Done()
		m := e.sys.machines[n%len(e.sys.machines)]
		id := newID()
		c, err := dial(m.front)
		if err != nil {
			return
		}
		defer c.Close()
		if c.send("POST", "/draft/2f", id, "8000", `{"sheet":"batting"}`) != nil {
			return
		}
		e.rec.logf("stream %s sent to %s", id, m.name)
		resp, body, err := c.answer(10 * time.Second)
		events := strings.Count(body, "\n\n")
		mu.Lock()
		defer mu.Unlock()
		e.rec.logf("stream %s: status %d, %d of %d events, end of the body: %v, run by %v", id, resp0(resp), events, crashEvents, err, runs[id])
		switch {
		case resp0(resp) != 200:
			other++
		case err != nil:
			brokenOff++
		case events < crashEvents:
			early++
		default:
			whole++
		}
	}
	begin := time.Now()
	crashed := false
	for n := 0; time.Since(begin) < 10*time.Second; n++ {
		if e.trouble && !crashed && time.Since(begin) >= 3*time.Second {
			crashed = true
			mu.Lock()
			w := all[0]
			for _, o := range all {
				if o.active > w.active {
					w = o
				}
			}
			w.alive = false
			mu.Unlock()
			e.rec.logf("worker %s crashes: SIGKILL to its process %d", w.id, w.cmd.Process.Pid)
			w.cmd.Process.Kill()
			time.AfterFunc(3*heartbeat, func() { e.store.remove("servers", w.id) })
			time.AfterFunc(crashTime, func() {
				if w, err := start("i-44ad7f01", w.zone); err == nil {
					mu.Lock()
					all = append(all, w)
					mu.Unlock()
				}
			})
		}
		wg.Add(1)
		go request(n)
		time.Sleep(time.Second / crashRate)
	}
	wg.Wait()
	e.rec.say("streams: %d whole, %d broken off, %d end as complete before their last event, %d with another status", whole, brokenOff, early, other)
	if early > 0 {
		e.rec.say("ORDER broken: the stream ends as complete before its last piece")
		return broken, nil
	}
	return held, nil
}
