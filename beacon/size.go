package beacon

import "github.com/vmihailenco/msgpack/v5"

// Upper bounds of encoded sizes in bytes, without the texts that vary in length.
const (
	digestBytes       = 192
	recordBytes       = 48
	countBytes        = 10
	ackBytes          = 36
	stallBytes        = 36
	readerBytes       = 32
	tableVersionBytes = 24
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
	if !d.Crashes.Empty() || len(d.Limits) > 0 {
		b, err := msgpack.Marshal(struct{ Crashes, Limits any }{d.Crashes, d.Limits})
		if err != nil {
			panic(err) // They hold only strings and numbers.
		}
		n += len(b)
	}
	return n
}
