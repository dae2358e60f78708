package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Trait is a hash of something that requests can have in common: a part of their prompts,
// or their whole content.
type Trait uint64

// PartTrait returns the trait of a part of a prompt.
func PartTrait(service ident.ServiceName, part string) Trait {
	return Trait(ident.NewFingerprint(service, []byte("part\n"+part)))
}

// ContentTrait returns the trait of a request's whole content.
func ContentTrait(f ident.Fingerprint) Trait { return Trait(f) }

// CorrelatorConfig holds the limits of a Correlator.
type CorrelatorConfig struct {
	// Crashes is the number of successive crashes at which a trait has to be present.
	Crashes int
	// MinSpacing is the least time between two successive crashes: the backend servers of a
	// data centre that is lost crash within less.
	MinSpacing time.Duration
	// StartTime is the time from the first part of an answer until the request counts as
	// begun. A request that crashes its backend server does so before.
	StartTime time.Duration
	// SettleTime is the time after a crash until it counts, so that all entry instances have
	// reported their suspects. Before, a popular trait may be the only one that is known.
	SettleTime time.Duration
	// TieTime is the time from the first crash of a trait that others share all crashes with
	// until it can be convicted. A popular trait survives somewhere within it.
	TieTime time.Duration
	// EvidenceTTL is how long a crash counts, ConvictionTTL how long a conviction lasts.
	EvidenceTTL, ConvictionTTL time.Duration
	// ReportTime is how long Findings contains a crash or a clearance.
	ReportTime time.Duration
	// MaxCrashes bounds the recorded crashes, MaxSuspects the suspect requests of one,
	// MaxTraits the traits of a request and MaxConvictions the convictions.
	MaxCrashes, MaxSuspects, MaxTraits, MaxConvictions int
}

// DefaultCorrelatorConfig returns the default configuration. ReportTime spans several
// messages between entry instances, so that single lost ones do not matter.
func DefaultCorrelatorConfig() CorrelatorConfig {
	return CorrelatorConfig{
		Crashes: 3, MinSpacing: 20 * time.Millisecond, StartTime: 200 * time.Millisecond, SettleTime: 250 * time.Millisecond,
		TieTime:     time.Second,
		EvidenceTTL: 10 * time.Minute, ConvictionTTL: 10 * time.Minute, ReportTime: 2 * time.Second,
		MaxCrashes: 64, MaxSuspects: 128, MaxTraits: 16, MaxConvictions: 256,
	}
}

// Correlator finds what the requests have in common that crash backend servers although
// no two of them are alike. Suspects of a crash are the requests on the backend server that
// had not begun. A trait that is present at each of several successive crashes, while no
// request with it has survived in between, is convicted: requests with it are refused.
//
// Suspects with the trait may always have further traits in common. Then all of these are
// convicted together, and only requests with all of them are refused, until a further crash
// or a survival tells them apart.
//
// The entry instances exchange Findings, so that all of them count the same crashes. Like
// Tracker, a Correlator is deterministic and does no I/O, and the caller serialises the calls.
type Correlator struct {
	cfg     CorrelatorConfig
	running map[Server]map[*TraitRun]struct{}
	// broken are the runs whose connections broke, until RecordCrash or DismissBroken.
	broken  map[Server][]*TraitRun
	crashes map[serverKey]*traitCrash
	// accusedAt is the time of the last recorded crash at which a trait was present, and
	// survivals the time of the last survival of a trait that was accused then.
	accusedAt, survivals map[Trait]time.Duration
	// recent and older hold the survivals of all traits since rotatedAt and for
	// ReportTime before it: a crash may be reported after a survival that followed it.
	recent, older map[Trait]time.Duration
	rotatedAt     time.Duration
	convictions   []Conviction
	// dueAt is when the next crash has settled, or noTime.
	dueAt time.Duration
}

// noTime is a time that is never reached.
const noTime = time.Duration(math.MaxInt64)

// serverKey is a hash of a Server. It keeps messages small.
type serverKey uint64

func keyOf(s Server) serverKey {
	return serverKey(ident.Score(string(s.Incarnation), s.Instance))
}

// TraitRun is one run of a request on a backend server.
type TraitRun struct {
	server    Server
	traits    []Trait
	startedAt time.Duration
	// answering is true once the backend server has sent a part of the answer, since
	// answeringSince. survived is true once the run has cleared its traits.
	answering, survived bool
	answeringSince      time.Duration
	// brokenAt is when the connection broke. lost is true if the backend server has crashed
	// before the end of the run.
	brokenAt time.Duration
	lost     bool
	// unconfirmed is true if the run has ended as RunUnconfirmed.
	unconfirmed bool
}

// traitCrash is a recorded crash of a backend server.
type traitCrash struct {
	at       time.Duration
	suspects []suspectRun
}

// suspectRun is a run that may have caused a crash. runningTime is the time from its start
// to the crash.
type suspectRun struct {
	traits      []Trait
	runningTime time.Duration
}

// Conviction is a set of traits. Requests that have all of them are refused.
type Conviction struct {
	Traits []Trait
	// Since is the time of the conviction.
	Since time.Duration
}

// NewCorrelator returns a correlator without evidence.
func NewCorrelator(cfg CorrelatorConfig) *Correlator {
	return &Correlator{
		cfg:     cfg,
		running: make(map[Server]map[*TraitRun]struct{}), broken: make(map[Server][]*TraitRun),
		crashes: make(map[serverKey]*traitCrash), accusedAt: make(map[Trait]time.Duration), survivals: make(map[Trait]time.Duration),
		recent: make(map[Trait]time.Duration), older: make(map[Trait]time.Duration),
		dueAt: noTime,
	}
}

// Begin records that a request with some traits is sent to a backend server. End must be
// called for the result.
func (c *Correlator) Begin(now time.Duration, s Server, traits []Trait) *TraitRun {
	r := &TraitRun{server: s, traits: traits[:min(len(traits), c.cfg.MaxTraits)], startedAt: now}
	if c.running[s] == nil {
		c.running[s] = make(map[*TraitRun]struct{})
	}
	c.running[s][r] = struct{}{}
	return r
}

// Answering records that the backend server has sent a part of the answer. It reports whether
// the run has survived: once the first part is older than CorrelatorConfig.StartTime.
func (c *Correlator) Answering(now time.Duration, r *TraitRun) (survived bool) {
	if !r.answering {
		r.answering, r.answeringSince = true, now
	}
	if !r.survived && !r.lost && now-r.answeringSince >= c.cfg.StartTime {
		c.survive(now, r)
	}
	return r.survived
}

// End records the result of a run. RunCrashed means that its connection broke. After RunCrashed and
// RunUnconfirmed, RecordCrash or DismissBroken has to be called.
func (c *Correlator) End(now time.Duration, r *TraitRun, result RunResult) {
	delete(c.running[r.server], r)
	if len(c.running[r.server]) == 0 {
		delete(c.running, r.server)
	}
	switch result {
	case RunSucceeded:
		c.survive(now, r)
	case RunCrashed, RunUnconfirmed:
		r.unconfirmed = result == RunUnconfirmed
		if _, known := c.crashes[keyOf(r.server)]; !known && len(c.broken[r.server]) < c.cfg.MaxSuspects {
			r.brokenAt = now
			c.broken[r.server] = append(c.broken[r.server], r)
		}
	}
}

// DismissBroken discards the broken runs of a backend server that has not crashed. Those that were
// unconfirmed have succeeded.
func (c *Correlator) DismissBroken(now time.Duration, s Server) {
	for _, r := range c.broken[s] {
		if r.unconfirmed {
			c.survive(now, r)
		}
	}
	delete(c.broken, s)
}

// RecordCrash records the crash of a backend server, as of the time when the first connection
// broke. It returns the number of suspects.
func (c *Correlator) RecordCrash(now time.Duration, s Server) (suspects int) {
	runs := c.broken[s]
	delete(c.broken, s)
	crash := traitCrash{at: now}
	for _, r := range runs {
		crash.at = min(crash.at, r.brokenAt)
	}
	for r := range c.running[s] {
		r.lost = true
		runs = append(runs, r)
	}
	delete(c.running, s)
	for _, r := range runs {
		if r.startedAt > crash.at || (r.answering && crash.at-r.answeringSince >= c.cfg.StartTime) {
			continue
		}
		crash.suspects = append(crash.suspects, suspectRun{r.traits, crash.at - r.startedAt})
	}
	c.addCrash(now, keyOf(s), crash)
	return len(crash.suspects)
}

// addCrash adds a crash, or the suspects of one that is known already.
func (c *Correlator) addCrash(now time.Duration, key serverKey, crash traitCrash) (changed bool) {
	c.expire(now)
	known := c.crashes[key]
	if known == nil {
		if len(crash.suspects) == 0 || now-crash.at >= c.cfg.EvidenceTTL {
			return false
		}
		if len(c.crashes) >= c.cfg.MaxCrashes {
			c.dropOldestCrash()
		}
		known = &traitCrash{at: crash.at}
		c.crashes[key] = known
	}
	known.at = min(known.at, crash.at)
	for _, s := range crash.suspects {
		i := slices.IndexFunc(known.suspects, func(k suspectRun) bool { return slices.Equal(k.traits, s.traits) })
		if i >= 0 {
			// Of runs of the same request, the last one counts.
			known.suspects[i].runningTime = min(known.suspects[i].runningTime, s.runningTime)
			continue
		}
		if len(known.suspects) >= c.cfg.MaxSuspects {
			break
		}
		known.suspects = append(known.suspects, s)
		changed = true
		for _, t := range s.traits {
			c.accusedAt[t] = max(c.accusedAt[t], known.at)
			if at := max(c.recent[t], c.older[t]); at >= known.at {
				c.survivals[t] = max(c.survivals[t], at)
			}
		}
	}
	if changed {
		c.dueAt = min(c.dueAt, max(now, known.at+c.cfg.SettleTime))
	}
	return changed
}

func (c *Correlator) dropOldestCrash() {
	var oldest serverKey
	found := false
	for key, crash := range c.crashes {
		if !found || crash.at < c.crashes[oldest].at {
			oldest, found = key, true
		}
	}
	delete(c.crashes, oldest)
}

// expire drops what is too old to count.
func (c *Correlator) expire(now time.Duration) {
	expired := false
	for key, crash := range c.crashes {
		if now-crash.at >= c.cfg.EvidenceTTL {
			delete(c.crashes, key)
			expired = true
		}
	}
	if expired {
		clear(c.accusedAt)
		for _, crash := range c.crashes {
			for _, s := range crash.suspects {
				for _, t := range s.traits {
					c.accusedAt[t] = max(c.accusedAt[t], crash.at)
				}
			}
		}
	}
	for t, at := range c.survivals {
		if _, ok := c.accusedAt[t]; !ok && now-at >= 2*c.cfg.ReportTime {
			delete(c.survivals, t)
		}
	}
	for server, runs := range c.broken {
		if now-runs[len(runs)-1].brokenAt >= c.cfg.ReportTime {
			delete(c.broken, server)
		}
	}
	// After a conviction has expired, one more crash renews it.
	c.convictions = slices.DeleteFunc(c.convictions, func(k Conviction) bool {
		return now-k.Since >= c.cfg.ConvictionTTL+c.cfg.EvidenceTTL
	})
}

// survive records that a backend server has begun to answer a request without a crash.
func (c *Correlator) survive(now time.Duration, r *TraitRun) {
	r.survived = true
	if now-c.rotatedAt >= c.cfg.ReportTime {
		c.older, c.recent, c.rotatedAt = c.recent, make(map[Trait]time.Duration), now
	}
	for _, t := range r.traits {
		c.recent[t] = now
		if c.accused(t) {
			c.acquit(now, t)
		}
	}
}

// accused reports whether a trait was present at a crash since its last survival, or is in
// a conviction.
func (c *Correlator) accused(t Trait) bool {
	if at, ok := c.accusedAt[t]; ok {
		if last, survived := c.survivals[t]; !survived || last < at {
			return true
		}
	}
	return slices.ContainsFunc(c.convictions, func(k Conviction) bool { return slices.Contains(k.Traits, t) })
}

// acquit removes a trait from the evidence up to a time and from older convictions. A
// conviction of several traits goes on with the others.
func (c *Correlator) acquit(at time.Duration, t Trait) {
	c.survivals[t] = max(c.survivals[t], at)
	kept := c.convictions[:0]
	for _, k := range c.convictions {
		if i := slices.Index(k.Traits, t); i >= 0 && k.Since <= at {
			k.Traits = slices.Delete(slices.Clone(k.Traits), i, i+1)
		}
		if len(k.Traits) > 0 {
			kept = append(kept, k)
		}
	}
	c.convictions = kept
}

// Convicted reports whether a request with these traits is refused, and how long.
func (c *Correlator) Convicted(now time.Duration, traits []Trait) (remaining time.Duration, ok bool) {
	for _, k := range c.convictions {
		if left := c.cfg.ConvictionTTL - (now - k.Since); left > 0 && isSubset(k.Traits, traits) {
			remaining, ok = max(remaining, left), true
		}
	}
	return remaining, ok
}

func isSubset(part, whole []Trait) bool {
	for _, t := range part {
		if !slices.Contains(whole, t) {
			return false
		}
	}
	return true
}

// evidence is what the recorded crashes say about one trait.
type evidence struct {
	trait Trait
	// crashes is the number of crashes at which the trait was present. successive counts
	// those at which it was present in a request sent after the previous one.
	crashes, successive int
	firstAt, lastAt     time.Duration
	// unexplained is the number of crashes that no conviction explains.
	unexplained int
	// common are the traits that all suspects with the trait have, itself included.
	common []Trait
}

// Tick convicts the traits that the evidence suffices for, and returns the new convictions.
// It has to be called often.
func (c *Correlator) Tick(now time.Duration) (convicted []Conviction) {
	if now < c.dueAt {
		return nil
	}
	c.dueAt = noTime
	for _, crash := range c.crashes {
		if at := crash.at + c.cfg.SettleTime; at > now {
			c.dueAt = min(c.dueAt, at)
		}
	}
	for _, runs := range c.running {
		for r := range runs {
			if r.answering {
				c.Answering(now, r)
			}
		}
	}
	c.renewConvictions()
	for {
		k, ok := c.nextConviction(now)
		if !ok {
			return convicted
		}
		c.addConviction(k)
		convicted = append(convicted, k)
	}
}

// renewConvictions renews the expired convictions of which a suspect has been present at a
// crash since.
func (c *Correlator) renewConvictions() {
	for i := range c.convictions {
		k := &c.convictions[i]
		for _, crash := range c.crashes {
			if crash.at < k.Since+c.cfg.ConvictionTTL {
				continue
			}
			if slices.ContainsFunc(crash.suspects, func(s suspectRun) bool { return isSubset(k.Traits, s.traits) }) {
				k.Since = crash.at
			}
		}
	}
}

// nextConviction returns the conviction with the strongest evidence, if it suffices.
func (c *Correlator) nextConviction(now time.Duration) (Conviction, bool) {
	all := c.collectEvidence(now)
	for _, e := range all {
		if e.successive < c.cfg.Crashes || e.unexplained == 0 {
			continue
		}
		// With rivals that were present as often, one of them may be there by chance.
		needed, stronger, tied := c.cfg.Crashes, false, false
		for _, rival := range all {
			if rival.successive < c.cfg.Crashes-1 || slices.Contains(e.common, rival.trait) {
				continue
			}
			stronger = stronger || rival.crashes > e.crashes
			if rival.crashes == e.crashes {
				needed, tied = c.cfg.Crashes+1, true
			}
		}
		if undecidedUntil := e.firstAt + c.cfg.TieTime; tied && now < undecidedUntil {
			c.dueAt = min(c.dueAt, undecidedUntil)
			continue
		}
		if !stronger && e.successive >= needed {
			return Conviction{Traits: e.common, Since: now}, true
		}
	}
	return Conviction{}, false
}

// collectEvidence returns the evidence about all traits that no conviction settles,
// strongest first. A crash that a conviction explains is no evidence about other traits.
func (c *Correlator) collectEvidence(now time.Duration) []*evidence {
	crashes := make([]*traitCrash, 0, len(c.crashes))
	for _, crash := range c.crashes {
		if now-crash.at >= c.cfg.SettleTime {
			crashes = append(crashes, crash)
		}
	}
	slices.SortFunc(crashes, func(a, b *traitCrash) int { return cmp.Compare(a.at, b.at) })
	byTrait := make(map[Trait]*evidence)
	for _, crash := range crashes {
		lastStart := make(map[Trait]time.Duration)
		causes := c.causesOf(crash)
		for _, s := range crash.suspects {
			accused := slices.DeleteFunc(slices.Clone(s.traits), func(t Trait) bool {
				at, survived := c.survivals[t]
				return survived && crash.at <= at
			})
			for _, t := range accused {
				if slices.ContainsFunc(causes, func(k Conviction) bool { return !slices.Contains(k.Traits, t) }) {
					continue
				}
				e := byTrait[t]
				if e == nil {
					e = &evidence{trait: t, common: slices.Clone(accused), lastAt: -1}
					byTrait[t] = e
				}
				e.common = slices.DeleteFunc(e.common, func(o Trait) bool { return !slices.Contains(accused, o) })
				lastStart[t] = max(lastStart[t], crash.at-s.runningTime)
			}
		}
		for t, start := range lastStart {
			e := byTrait[t]
			e.crashes++
			if len(causes) == 0 {
				e.unexplained++
			}
			if e.crashes == 1 {
				e.firstAt = crash.at
			}
			if e.successive == 0 || (start >= e.lastAt && crash.at >= e.lastAt+c.cfg.MinSpacing) {
				e.successive, e.lastAt = e.successive+1, crash.at
			}
		}
	}
	var out []*evidence
	for _, e := range byTrait {
		settled := slices.ContainsFunc(c.convictions, func(k Conviction) bool { return isSubset(k.Traits, e.common) })
		if !settled {
			slices.Sort(e.common)
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *evidence) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.successive, a.successive), cmp.Compare(a.trait, b.trait))
	})
	return out
}

// causesOf returns the convictions that explain a crash: of which a request was present.
func (c *Correlator) causesOf(crash *traitCrash) []Conviction {
	return slices.DeleteFunc(slices.Clone(c.convictions), func(k Conviction) bool {
		return !slices.ContainsFunc(crash.suspects, func(s suspectRun) bool { return isSubset(k.Traits, s.traits) })
	})
}

// addConviction adds a conviction, unless a known one covers it, and drops those that it
// covers. The oldest one is dropped if there are too many. It reports whether it was added.
func (c *Correlator) addConviction(k Conviction) bool {
	for i := range c.convictions {
		known := &c.convictions[i]
		if isSubset(known.Traits, k.Traits) {
			if len(known.Traits) == len(k.Traits) && k.Since > known.Since+c.cfg.ConvictionTTL {
				known.Since = k.Since
				return true
			}
			return false
		}
	}
	c.convictions = slices.DeleteFunc(c.convictions, func(o Conviction) bool { return isSubset(k.Traits, o.Traits) })
	if len(c.convictions) >= c.cfg.MaxConvictions {
		oldest := 0
		for i := range c.convictions {
			if c.convictions[i].Since < c.convictions[oldest].Since {
				oldest = i
			}
		}
		c.convictions = slices.Delete(c.convictions, oldest, oldest+1)
	}
	c.convictions = append(c.convictions, k)
	return true
}
