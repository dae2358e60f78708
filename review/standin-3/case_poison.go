package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of casePoison.
const (
	formTime      = 9 * time.Second  // the groups form
	calmTime      = 12 * time.Second // sound requests alone
	poisonTime    = 40 * time.Second // requests with the part that crashes workers come too
	workerBack    = 3 * time.Second  // a worker that crashed is back
	stability     = 3 * time.Second  // StabilityMs
	poisonEvery   = 400 * time.Millisecond
	poisonClients = 4
	soundClients  = 30
	// sharedParts is the number of prompt parts that all sound requests share.
	sharedParts = 18
)

const poisonPart = "bad0bad0"

// crash ends a worker at once, as its process does when it crashes: its channels are reset and its
// port is closed. It is back after workerBack, as a new lifetime with a new id. Its host keeps the staged model.
func (f *Fleet) crash(l *LLM) {
	f.mu.Lock()
	if l.gone {
		f.mu.Unlock()
		return
	}
	l.gone = true
	l.setGroup(nil)
	f.mu.Unlock()
	_ = l.listener.Close()
	l.Worker.mu.Lock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	l.Worker.mu.Unlock()
	time.AfterFunc(workerBack, func() {
		f.store.Remove("servers", l.ID)
		n := &LLM{fleet: f, Domain: l.Domain, staged: l.staged, OnBegin: l.OnBegin}
		id := fmt.Sprintf("%s-r%d", strings.SplitN(l.ID, "-r", 2)[0], time.Now().UnixMilli()%1000000)
		w, err := StartWorker(f.rec, "127.0.0.1", id, "huvo11a", l.Zone, 26, n.handle)
		if err != nil {
			return
		}
		n.Worker = w
		f.mu.Lock()
		f.Workers[id] = n
		f.publish(n)
		f.mu.Unlock()
	})
}

// casePoison: requests with one part crash each worker that begins to write an answer on it. Sound
// requests share their caller and their other parts. The rule LOST (news pages): from 2 x StabilityMs after
// the fifth crash, sound requests must begin at the first attempt at least half as often as before.
func casePoison(rec *Record, trouble bool) (bool, error) {
	position := sharedParts
	if p, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = p
	}
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	zones := []string{"brno-a", "brno-b", "brno-c"}
	fleet := newFleet(rec, store)
	var mu sync.Mutex
	var crashes []time.Time
	var poisonRuns []time.Time
	begun := map[string]bool{}
	onBegin := func(l *LLM, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if !slices.ContainsFunc(strings.Split(r.Header.Get("Prompt-Prefix"), ","), func(p string) bool { return strings.HasPrefix(p, poisonPart+":") }) {
			mu.Lock()
			begun[id] = true
			mu.Unlock()
			return true
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		poisonRuns = append(poisonRuns, time.Now())
		n := len(crashes)
		mu.Unlock()
		rec.Add("worker %s begins %s and crashes (crash %d)", l.ID, id, n)
		fleet.crash(l)
		return false
	}
	for i := range 54 {
		l, err := fleet.Add(fmt.Sprintf("i-m%02d", i), zones[i/18], i/9)
		if err != nil {
			return false, err
		}
		l.OnBegin = onBegin
	}
	store.Put("op", "config", fullConfig(7))
	sys, err := StartSystem(7, store.Addr)
	if sys != nil {
		defer sys.Stop()
	}
	if err != nil {
		return false, err
	}
	if err := sys.WaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(formTime)
	var parts []string
	for i := range sharedParts {
		parts = append(parts, fmt.Sprintf("%08x:%d", 0x5c1e0000+i, 40))
	}
	type soundRequest struct {
		id string
		at time.Time
	}
	var sound []soundRequest
	var sequence atomic.Int64
	send := func(ch *Channel, poison bool) Answer {
		n := sequence.Add(1)
		prefix := slices.Clone(parts)
		if poison {
			prefix = slices.Insert(prefix, position, poisonPart+":40")
		}
		r := &Request{ID: newID(), DeadlineMs: 5000, Key: key, Method: "POST", Path: "/lohu930/2f"}
		prefix = append(prefix, fmt.Sprintf("%08x:%d", 0xe4000000+n, 200+n%500))
		r.Body = []byte(r.ID + strings.Repeat("p", int(200+n%1000)))
		r.Headers = [][2]string{{"Model", []string{"m0", "m1"}[n%2]}, {"Token-Counts", "1460,80"}, {"Prompt-Prefix", strings.Join(prefix, ",")}}
		if !poison {
			mu.Lock()
			sound = append(sound, soundRequest{r.ID, time.Now()})
			mu.Unlock()
		}
		a := ch.Do(r)
		rec.Add("client: %s (poison %v) gets %d, whole %v", r.ID, poison, a.Status, a.Err == nil)
		return a
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(pause time.Duration, poison bool, first int) {
		defer wg.Done()
		for i := first; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			ch, err := Dial(sys.Entries[i%len(sys.Entries)].Front)
			if err != nil {
				continue
			}
			send(ch, poison)
			ch.Close()
		}
	}
	begin := time.Now()
	for i := range soundClients {
		wg.Add(1)
		go client(300*time.Millisecond, false, i)
	}
	time.Sleep(calmTime)
	poisonFrom := time.Now()
	if trouble {
		rec.Add("requests with the part %s begin to come, at place %d of %d", poisonPart, position+1, sharedParts+2)
		for i := range poisonClients {
			wg.Add(1)
			go client(poisonEvery, true, 2*i)
		}
	}
	time.Sleep(poisonTime)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	from := poisonFrom.Add(2 * stability)
	fifth := time.Time{}
	if n := min(5, len(crashes)); n > 0 {
		fifth = crashes[n-1]
		from = fifth.Add(2 * stability)
	}
	calm, calmBegun, late, lateBegun := 0, 0, 0, 0
	for _, s := range sound {
		switch {
		case s.at.After(begin) && s.at.Before(poisonFrom.Add(-time.Second)):
			calm++
			if begun[s.id] {
				calmBegun++
			}
		case s.at.After(from) && s.at.Before(poisonFrom.Add(poisonTime)):
			late++
			if begun[s.id] {
				lateBegun++
			}
		}
	}
	after := 0
	for _, t := range poisonRuns {
		if !fifth.IsZero() && t.After(fifth.Add(stability)) {
			after++
		}
	}
	summary := fmt.Sprintf("sound requests that began: %d of %d in calm, %d of %d from 2 x StabilityMs after the fifth crash; %d crashes; %d requests with the part ran later than StabilityMs after the fifth crash (BUDGET: at most 3)",
		calmBegun, calm, lateBegun, late, len(crashes), after)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if calm < 20 || calmBegun < calm*9/10 {
		return false, fmt.Errorf("the sound requests were not served in calm")
	}
	if late < 20 {
		return false, fmt.Errorf("too few requests")
	}
	return float64(lateBegun)/float64(late) < 0.5*float64(calmBegun)/float64(calm), nil
}
