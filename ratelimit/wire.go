package ratelimit

import (
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/aggregate"
	"github.com/fulmarhitch/fulmarhitch/coordination"
	"github.com/fulmarhitch/fulmarhitch/usage"
)

const (
	// maxMessage bounds a message in bytes. That of a relay takes 10 to 90 bytes for each active organisation.
	maxMessage = 1 << 20
	// maxEntries bounds the organisations in a message, each of which takes about 100 bytes in memory.
	maxEntries = 20_000
	// idLength is the length of the identifier of an organisation in bytes.
	idLength = 6
	// hasMore, hasRefused and isLast are flags in the byte with the age of a slot: the number of requests follows unless it is
	// one, then that of the refused ones unless there are none; the slot is the last one of the organisation.
	hasMore    = 0x20
	hasRefused = 0x40
	isLast     = 0x80
	ageMask    = 0x1f
)

// wireReport is a report.
type wireReport struct {
	Reporter uint64 `json:"reporter,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Index is the index of the reporter's present slot.
	Index int64 `json:"index,omitempty"`
	Whole bool  `json:"whole,omitempty"`
	Relay bool  `json:"relay,omitempty"`
	Probe bool  `json:"probe,omitempty"`
	Push  bool  `json:"push,omitempty"`
	// FailureDomain is stated in whole reports of relays, and Address in all whole reports.
	FailureDomain string `json:"failure-domain,omitempty"`
	Address       string `json:"address,omitempty"`
	// Reports and VMs are numbers of reports and of VMs that a relay states.
	Reports int `json:"reports,omitempty"`
	VMs     int `json:"vms,omitempty"`
	// Usage holds the entries, and Shares those of a push.
	Usage  []byte `json:"usage,omitempty"`
	Shares []byte `json:"shares,omitempty"`
}

// wireAnswer is the answer to a wireReport.
type wireAnswer struct {
	Unknown bool   `json:"unknown,omitempty"`
	Decided bool   `json:"decided,omitempty"`
	Shares  []byte `json:"shares,omitempty"`
	Parts   []byte `json:"parts,omitempty"`
}

// codec is JSON for messages without a protobuf schema.
type codec struct{}

// Name returns the name of the content type.
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(m any) ([]byte, error) { return json.Marshal(m) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, m any) error { return json.Unmarshal(data, m) }

var errMessage = errors.New("ratelimit: malformed message")

func encodeRequest(r coordination.Request) *wireReport {
	w := &wireReport{
		Reporter: r.Reporter, Sequence: r.Sequence, Index: r.Index, Whole: r.Whole, Relay: r.IsRelay, Probe: r.IsProbe, Push: r.IsPush,
		Address: r.Address, Reports: r.Reports, VMs: r.VMs, Usage: encodeEntries(r.Entries, r.IsRelay), Shares: encodeShares(r.Shares),
	}
	if r.IsRelay && r.Whole {
		w.FailureDomain = r.FailureDomain
	}
	return w
}

func decodeRequest(w *wireReport) (coordination.Request, error) {
	r := coordination.Request{IsRelay: w.Relay, IsProbe: w.Probe, IsPush: w.Push, Reports: min(max(w.Reports, 0), maxCount), VMs: min(max(w.VMs, 0), maxCount), Report: aggregate.Report{
		Reporter: w.Reporter, Sequence: w.Sequence, Index: w.Index, Whole: w.Whole, FailureDomain: w.FailureDomain, Address: w.Address,
	}}
	var err error
	if r.Entries, err = decodeEntries(w.Usage, w.Relay); err != nil {
		return r, err
	}
	if r.Shares, err = decodeShares(w.Shares); err != nil {
		return r, err
	}
	return r, nil
}

func encodeAnswer(a coordination.Answer) *wireAnswer {
	return &wireAnswer{Unknown: a.IsUnknown, Decided: a.IsDecided, Shares: encodeShares(a.Shares), Parts: encodeShares(a.Parts)}
}

func decodeAnswer(w *wireAnswer) (a coordination.Answer, err error) {
	a.IsUnknown, a.IsDecided = w.Unknown, w.Decided
	if a.Shares, err = decodeShares(w.Shares); err != nil {
		return a, err
	}
	a.Parts, err = decodeShares(w.Parts)
	return a, err
}

func appendID(b []byte, id uint64) []byte {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], id)
	return append(b, buf[8-idLength:]...)
}

func readID(b []byte) uint64 {
	var buf [8]byte
	copy(buf[8-idLength:], b[:idLength])
	return binary.BigEndian.Uint64(buf[:])
}

// encodeEntries returns the entries as bytes: the identifier, for a relay the part and the fresh requests, and the slots.
func encodeEntries(entries []usage.Entry, isRelay bool) []byte {
	var b []byte
	for _, e := range entries {
		b = appendID(b, e.ID)
		if isRelay {
			b = append(b, byte(math.Round(e.Part*math.MaxUint8)), byte(min(e.Fresh, math.MaxUint8)))
		}
		for i, c := range e.Cells {
			head := byte(c.Age)
			offered, refused := uint64(max(c.Offered, 0)), uint64(max(c.Refused, 0))
			if offered != 1 {
				head |= hasMore
			}
			if refused > 0 {
				head |= hasRefused
			}
			if i == len(e.Cells)-1 {
				head |= isLast
			}
			b = append(b, head)
			if offered != 1 {
				b = binary.AppendUvarint(b, offered)
			}
			if refused > 0 {
				b = binary.AppendUvarint(b, refused)
			}
		}
	}
	return b
}

func decodeEntries(b []byte, isRelay bool) ([]usage.Entry, error) {
	var entries []usage.Entry
	headLength := idLength
	if isRelay {
		headLength += 2
	}
	for len(b) > 0 {
		if len(b) <= headLength || len(entries) == maxEntries {
			return nil, errMessage
		}
		e := usage.Entry{ID: readID(b)}
		if isRelay {
			e.Part, e.Fresh = float64(b[idLength])/math.MaxUint8, int(b[idLength+1])
		}
		var err error
		if e.Cells, b, err = decodeCells(b[headLength:]); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// decodeCells returns the slots of one organisation and the bytes after them.
func decodeCells(b []byte) (cells []usage.Cell, rest []byte, err error) {
	for len(cells) < usage.Slots && len(b) > 0 {
		head := b[0]
		b = b[1:]
		c := usage.Cell{Age: int(head & ageMask), Count: usage.Count{Offered: 1}}
		if head&hasMore != 0 {
			if c.Offered, b, err = readCount(b); err != nil {
				return nil, nil, err
			}
		}
		if head&hasRefused != 0 {
			if c.Refused, b, err = readCount(b); err != nil {
				return nil, nil, err
			}
		}
		if c.Age >= usage.Slots || c.Refused > c.Offered {
			return nil, nil, errMessage
		}
		cells = append(cells, c)
		if head&isLast != 0 {
			return cells, b, nil
		}
	}
	return nil, nil, errMessage
}

// maxCount bounds the requests of a slot, so that sums don't overflow.
const maxCount = 1 << 20

func readCount(b []byte) (int32, []byte, error) {
	n, length := binary.Uvarint(b)
	if length <= 0 || n > maxCount {
		return 0, nil, errMessage
	}
	return int32(n), b[length:], nil
}

// encodeShares returns the shares as bytes: the identifier and 16 bits each.
func encodeShares(shares []coordination.Share) []byte {
	var b []byte
	for _, s := range shares {
		b = binary.BigEndian.AppendUint16(appendID(b, s.ID), uint16(s.Value*math.MaxUint16))
	}
	return b
}

func decodeShares(b []byte) ([]coordination.Share, error) {
	const length = idLength + 2
	if len(b)%length != 0 || len(b) > maxEntries*length {
		return nil, errMessage
	}
	shares := make([]coordination.Share, 0, len(b)/length)
	for ; len(b) > 0; b = b[length:] {
		shares = append(shares, coordination.Share{ID: readID(b), Value: float64(binary.BigEndian.Uint16(b[idLength:])) / math.MaxUint16})
	}
	return shares, nil
}
