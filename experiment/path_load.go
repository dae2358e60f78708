package experiment

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pathUsage is the processor time and the number of allocations of a process.
type pathUsage struct {
	cpu     time.Duration
	mallocs float64
}

// pathLoad holds the number of answers, the time and the usage of all rounds with
// answers of one length.
type pathLoad struct {
	answers int64
	elapsed time.Duration
	usage   pathUsage
}

// perAnswer returns the average processor time and allocations per answer.
func (l *pathLoad) perAnswer() (time.Duration, float64) {
	n := max(l.answers, 1)
	return l.usage.cpu / time.Duration(n), l.usage.mallocs / float64(n)
}

func (l *pathLoad) rate() float64 { return float64(l.answers) / l.elapsed.Seconds() }

// readUsage reads the counters of the process under test.
func (c *pathCase) readUsage() (pathUsage, error) {
	if c.metrics == "" {
		return pathUsage{}, nil
	}
	m, err := scrapeMetrics(c.metrics)
	return pathUsage{
		cpu:     time.Duration(m["process_cpu_seconds_total"] * float64(time.Second)),
		mallocs: m["go_memstats_mallocs_total"],
	}, err
}

// measure adds the usage of the process under test during run to into.
func (c *pathCase) measure(into *pathUsage, run func() error) error {
	before, err := c.readUsage()
	if err != nil {
		return err
	}
	if err := run(); err != nil {
		return err
	}
	after, err := c.readUsage()
	into.cpu += after.cpu - before.cpu
	into.mallocs += after.mallocs - before.mallocs
	return err
}

// measureLoads measures each process when idle, and then puts load on the paths in turn, in
// rounds with short and with long answers, so that all are measured under the same machine
// load. The difference between the lengths separates the cost of a token from that of a
// request.
func (p *pathSetup) measureLoads() error {
	for _, c := range p.cases {
		if c.metrics == "" {
			continue
		}
		if err := c.measure(&c.idleUsage, func() error { time.Sleep(pathIdleTime); return nil }); err != nil {
			return err
		}
	}
	for range pathRounds {
		for _, c := range p.cases {
			if err := c.runLoad(&c.shortLoad, pathShortTokens); err != nil {
				return err
			}
			if err := c.runLoad(&c.longLoad, pathLongTokens); err != nil {
				return err
			}
		}
	}
	return nil
}

// runLoad keeps pathConnections connections busy for one round.
func (c *pathCase) runLoad(l *pathLoad, tokens int) error {
	return c.measure(&l.usage, func() error {
		var wg sync.WaitGroup
		var failed atomic.Pointer[error]
		start := time.Now()
		for i := range pathConnections {
			wg.Go(func() {
				for n := i; time.Since(start) < pathRoundTime; n += pathConnections {
					if _, _, err := c.send(tokens, n); err != nil {
						failed.Store(&err)
						return
					}
					atomic.AddInt64(&l.answers, 1)
				}
			})
		}
		wg.Wait()
		l.elapsed += time.Since(start)
		if err := failed.Load(); err != nil {
			return *err
		}
		return nil
	})
}

// print prints the latency, the throughput and the cost of each path.
func (p *pathSetup) print(w io.Writer) error {
	direct := p.cases[0]
	us := func(d time.Duration) int64 { return d.Microseconds() }
	t := newTable(w, "way\tfirst token p50 us\tp99 us\tadded p50 us\tadded p99 us\tanswer of 20 tokens p50 us\tp99 us\tanswers of 20/s at 64 connections\ttokens/s in answers of 200")
	for _, c := range p.cases {
		p50, p99 := percentile(c.firstTokens, 50), percentile(c.firstTokens, 99)
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", c.name, us(p50), us(p99),
			us(p50-percentile(direct.firstTokens, 50)), us(p99-percentile(direct.firstTokens, 99)),
			us(percentile(c.wholeAnswers, 50)), us(percentile(c.wholeAnswers, 99)), c.shortLoad.rate(), c.longLoad.rate()*pathLongTokens)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	t = newTable(w, "\nprocess\tcpu us per answer of 20\tof 200\tcpu ns per token\tallocations per answer of 20\tof 200\tper token\tidle cpu ms/s\tidle allocations/s")
	for _, c := range p.cases[1:] {
		shortCPU, shortAllocs := c.shortLoad.perAnswer()
		longCPU, longAllocs := c.longLoad.perAnswer()
		const extraTokens = pathLongTokens - pathShortTokens
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.1f\t%.0f\n", c.name, us(shortCPU), us(longCPU),
			(longCPU-shortCPU).Nanoseconds()/extraTokens, shortAllocs, longAllocs, (longAllocs-shortAllocs)/extraTokens,
			float64(c.idleUsage.cpu.Milliseconds())/pathIdleTime.Seconds(), c.idleUsage.mallocs/pathIdleTime.Seconds())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return printLoadAverage(w)
}

// printLoadAverage prints the load average of the machine.
func printLoadAverage(w io.Writer) error {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "\nload average of the last minute: %s\n", strings.Fields(string(b))[0])
	return err
}
