package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Findings are what an entry instance tells the others about traits: recent crashes with
// their suspects, recent clearances, and all convictions. Times are ages, because the
// clocks of two entry instances cannot be compared. Merging is idempotent, so findings can
// be repeated and passed on.
type Findings struct {
	Crashes     []CrashFinding      `msgpack:"c,omitempty"`
	Clearances  []TraitFinding      `msgpack:"s,omitempty"`
	Convictions []ConvictionFinding `msgpack:"k,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (f *Findings) Empty() bool {
	return len(f.Crashes) == 0 && len(f.Clearances) == 0 && len(f.Convictions) == 0
}

// CrashFinding is a crash of a backend server.
type CrashFinding struct {
	Server   uint64           `msgpack:"s"`
	Age      time.Duration    `msgpack:"a"`
	Suspects []SuspectFinding `msgpack:"r"`
}

// SuspectFinding is a request that may have caused a crash. RunningTime is the time from
// its start to the crash.
type SuspectFinding struct {
	Traits      []Trait       `msgpack:"t"`
	RunningTime time.Duration `msgpack:"r"`
}

// TraitFinding is the last survival of a trait.
type TraitFinding struct {
	Trait Trait         `msgpack:"t"`
	Age   time.Duration `msgpack:"a"`
}

// ConvictionFinding is a conviction.
type ConvictionFinding struct {
	Traits []Trait       `msgpack:"t"`
	Age    time.Duration `msgpack:"a"`
}

// maxReportedCrashes and maxReportedClearances bound the size of findings.
const (
	maxReportedCrashes    = 16
	maxReportedClearances = 128
)

// Findings returns what the other entry instances have to know.
func (c *Correlator) Findings(now time.Duration) Findings {
	var f Findings
	for key, crash := range c.crashes {
		if now-crash.at >= c.cfg.ReportTime {
			continue
		}
		r := CrashFinding{Server: uint64(key), Age: now - crash.at}
		for _, s := range crash.suspects {
			r.Suspects = append(r.Suspects, SuspectFinding{s.traits, s.runningTime})
		}
		f.Crashes = append(f.Crashes, r)
	}
	slices.SortFunc(f.Crashes, func(a, b CrashFinding) int { return cmp.Compare(a.Age, b.Age) })
	f.Crashes = f.Crashes[:min(len(f.Crashes), maxReportedCrashes)]
	for t, at := range c.survivals {
		if now-at < c.cfg.ReportTime {
			f.Clearances = append(f.Clearances, TraitFinding{t, now - at})
		}
	}
	slices.SortFunc(f.Clearances, func(a, b TraitFinding) int { return cmp.Compare(a.Age, b.Age) })
	f.Clearances = f.Clearances[:min(len(f.Clearances), maxReportedClearances)]
	for _, k := range c.convictions {
		f.Convictions = append(f.Convictions, ConvictionFinding{k.Traits, now - k.Since})
	}
	return f
}

// Merge applies the findings of another entry instance. It returns the convictions that are
// new here, and whether anything was. Crashes count in the next Tick.
func (c *Correlator) Merge(now time.Duration, f Findings) (convicted []Conviction, changed bool) {
	for _, s := range f.Clearances {
		at := now - max(0, s.Age)
		if at > c.survivals[s.Trait] && c.accused(s.Trait) {
			c.acquit(at, s.Trait)
			changed = true
		}
	}
	for _, r := range f.Crashes {
		crash := traitCrash{at: now - max(0, r.Age)}
		for _, s := range r.Suspects {
			crash.suspects = append(crash.suspects, suspectRun{s.Traits[:min(len(s.Traits), c.cfg.MaxTraits)], max(0, s.RunningTime)})
		}
		changed = c.addCrash(now, serverKey(r.Server), crash) || changed
	}
	for _, r := range f.Convictions {
		k := Conviction{Since: now - max(0, r.Age)}
		for _, t := range r.Traits {
			if at, survived := c.survivals[t]; !survived || at < k.Since {
				k.Traits = append(k.Traits, t)
			}
		}
		if len(k.Traits) == 0 || r.Age >= c.cfg.ConvictionTTL {
			continue
		}
		if c.addConviction(k) {
			convicted, changed = append(convicted, k), true
		}
	}
	return convicted, changed
}
