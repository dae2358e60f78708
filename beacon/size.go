package beacon

// Upper bounds of encoded sizes in bytes, without the texts that vary in length.
const (
	digestBytes       = 192
	recordBytes       = 48
	countBytes        = 10
	ackBytes          = 36
	stallBytes        = 36
	readerBytes       = 32
	tableVersionBytes = 24
	findingBytes      = 28
	traitBytes        = 9
	limitBytes        = 36
	timeBytes         = 12
)

// encodedBytes returns an upper bound of the size of an encoded record.
func (r *Record) encodedBytes() int {
	return recordBytes + len(r.From) + len(r.Incarnation) + len(r.CallerAddress) + len(r.DataCentre)
}

// encodedBytes returns an upper bound of the size of an encoded digest, whose lists are bounded
// except for the records.
func (d *Digest) encodedBytes() int {
	n := digestBytes + len(d.From) + len(d.Incarnation) + len(d.DataCentre)
	n += countBytes * (len(d.Sums.Loads) + len(d.Sums.Failing) + len(d.Sums.Healthy))
	n += ackBytes * len(d.Acks)
	if d.Time != 0 {
		n += timeBytes
	}
	for _, s := range d.Stalled {
		n += stallBytes + len(s.Group) + len(s.Reporter)
	}
	for _, r := range d.Readers {
		n += readerBytes + len(r.Instance)
		for _, v := range r.TableVersions {
			n += tableVersionBytes + len(v.Table)
		}
	}
	for i := range d.Records {
		n += d.Records[i].encodedBytes()
	}
	for _, c := range d.Crashes.Crashes {
		n += findingBytes
		for _, r := range c.Suspects {
			n += findingBytes + traitBytes*len(r.Traits)
		}
	}
	n += (findingBytes + traitBytes) * len(d.Crashes.Clearances)
	for _, k := range d.Crashes.Convictions {
		n += findingBytes + traitBytes*len(k.Traits)
	}
	for _, r := range d.Limits {
		n += limitBytes + len(r.Server)
	}
	return n
}

// minRecordRoom is what the other lists of a digest leave for its records.
const minRecordRoom = 2 << 10

// minShrunkStalls and minShrunkCounts are the lengths below which lists are no longer shortened.
const (
	minShrunkStalls = 16
	minShrunkCounts = 100
)

// shrink shortens the lists of a digest until it has at most the given size without records. What is
// dropped is repeated by its sources, or of the least use: old findings and small counts of health.
func (d *Digest) shrink(limit int) {
	for d.encodedBytes() > limit {
		switch c := &d.Crashes; {
		case len(c.Clearances) > 0:
			c.Clearances = half(c.Clearances)
		case len(d.Stalled) > minShrunkStalls:
			d.Stalled = half(d.Stalled)
		case len(c.Crashes) > 1:
			c.Crashes = half(c.Crashes)
		case len(d.Sums.Failing)+len(d.Sums.Healthy) > minShrunkCounts:
			d.Sums.Failing, d.Sums.Healthy = half(d.Sums.Failing), half(d.Sums.Healthy)
		case len(d.Limits) > 0:
			d.Limits = half(d.Limits)
		case len(c.Convictions) > 0:
			c.Convictions = half(c.Convictions)
		case len(c.Crashes) > 0:
			c.Crashes = nil
		case len(d.Sums.Loads) > minShrunkCounts:
			d.Sums.Loads = half(d.Sums.Loads)
		default:
			return
		}
	}
}

// shrink shortens the longest list of a beacon that is too large.
func (m *Message) shrink() {
	switch c := &m.Crashes; {
	case m.Activity != nil && m.Activity.Counts() > 0:
		m.Activity = m.Activity.Shrunk() // The counts are repeated.
	case len(c.Clearances) > 0:
		c.Clearances = half(c.Clearances)
	case len(c.Crashes) > 1:
		c.Crashes = half(c.Crashes)
	case len(m.StalledGroups) > minShrunkStalls:
		m.StalledGroups = half(m.StalledGroups)
	case len(m.FailingServers)+len(m.HealthyServers) > minShrunkCounts:
		m.FailingServers, m.HealthyServers = half(m.FailingServers), half(m.HealthyServers)
	default:
		m.Loads, m.Limits, m.PeerAddresses, m.Acks = half(m.Loads), half(m.Limits), half(m.PeerAddresses), half(m.Acks)
		c.Crashes, c.Convictions = half(c.Crashes), half(c.Convictions)
	}
}

// half returns the first half of a list.
func half[T any](list []T) []T { return list[:len(list)/2] }
