package aggregate

import (
	"slices"
	"time"

	"github.com/fulmarhitch/fulmarhitch/usage"
)

// Report states the counts of one VM, or the sums of a relay.
type Report struct {
	// Reporter identifies the process that reports.
	Reporter uint64
	// Sequence increases with each report of the reporter.
	Sequence uint64
	// Whole reports whether Entries holds the whole window; otherwise it holds what has changed since an earlier report.
	Whole bool
	// Index is the index of the reporter's present slot.
	Index int64
	// FailureDomain and Address are the failure domain of the reporter and its address for other VMs. Whole reports state them.
	FailureDomain, Address string
	Entries                []usage.Entry
}

// cell is the count of a slot; slot is its index at the reporter, and index the one here.
type cell struct {
	slot, index int64
	count       usage.Count
}

type row struct {
	cells []cell
	part  float64
}

type reporter struct {
	sequence      uint64
	failureDomain string
	address       string
	lastSeen      time.Time
	rows          map[uint64]row
}

// Table holds the sums of the reports. It isn't safe for concurrent use.
type Table struct {
	total     *usage.Table
	window    time.Duration
	reporters map[uint64]*reporter
}

// New returns a table without reports.
func New(window time.Duration, now time.Time) *Table {
	return &Table{total: usage.New(window, now), window: window, reporters: make(map[uint64]*reporter)}
}

// Total returns the sums.
func (t *Table) Total() *usage.Table {
	return t.total
}

// Record takes over a report. It returns false if the reporter has to send a whole one first.
func (t *Table) Record(r Report, now time.Time) (known bool) {
	from := t.reporters[r.Reporter]
	switch {
	case from == nil && !r.Whole:
		return false
	case from == nil:
		from = &reporter{rows: make(map[uint64]row)}
		t.reporters[r.Reporter] = from
	case r.Sequence <= from.sequence:
		// It was overtaken by a later one.
		return true
	}
	from.sequence, from.lastSeen = r.Sequence, now
	if r.Whole {
		t.clear(from)
		from.failureDomain, from.address = r.FailureDomain, r.Address
	}
	index, _ := t.total.Index(now)
	for _, e := range r.Entries {
		updated := from.rows[e.ID]
		updated.part = e.Part
		for _, c := range e.Cells {
			updated.cells = t.update(e.ID, updated.cells, cell{r.Index - int64(c.Age), index - int64(c.Age), c.Count})
		}
		from.rows[e.ID] = updated
	}
	return true
}

// update replaces the count of a slot, which keeps the index that it had here at first.
func (t *Table) update(id uint64, cells []cell, c cell) []cell {
	i := slices.IndexFunc(cells, func(old cell) bool { return old.slot == c.slot })
	if i < 0 {
		t.total.Add(id, c.index, c.count)
		return append(cells, c)
	}
	old := &cells[i]
	t.total.Add(id, old.index, usage.Count{Offered: c.count.Offered - old.count.Offered, Refused: c.count.Refused - old.count.Refused})
	old.count = c.count
	return cells
}

// clear takes back all that the reporter has stated.
func (t *Table) clear(from *reporter) {
	for id, r := range from.rows {
		t.remove(id, r)
	}
	clear(from.rows)
}

func (t *Table) remove(id uint64, r row) {
	for _, c := range r.cells {
		t.total.Add(id, c.index, usage.Count{Offered: -c.count.Offered, Refused: -c.count.Refused})
	}
}

// Offered returns the number of requests of the organisation that the reporter stated for the slots of the window before the index, from
// an age on.
func (t *Table) Offered(reporter, id uint64, index int64, age int) (n int) {
	from := t.reporters[reporter]
	if from == nil {
		return 0
	}
	for _, c := range from.rows[id].cells {
		if a := index - c.index; a >= int64(age) && a < usage.Slots {
			n += int(c.count.Offered)
		}
	}
	return n
}

// Knows reports whether the reporter has reported in the window.
func (t *Table) Knows(reporter uint64) bool {
	return t.reporters[reporter] != nil
}

// FailureDomain returns the failure domain of the reporter, or an empty string if it isn't known.
func (t *Table) FailureDomain(reporter uint64) string {
	if from := t.reporters[reporter]; from != nil {
		return from.failureDomain
	}
	return ""
}

// Has reports whether the reporter has stated requests of the organisation.
func (t *Table) Has(reporter, id uint64) bool {
	from := t.reporters[reporter]
	return from != nil && len(from.rows[id].cells) > 0
}

// Parts returns the sum of the parts of the organisation's demand that the reporters have been told, if they have reported since
// the time. A reporter that was told none counts as the default part.
func (t *Table) Parts(id uint64, since time.Time, defaultPart float64) (sum float64) {
	for _, r := range t.reporters {
		if r.lastSeen.Before(since) {
			continue
		}
		if part := r.rows[id].part; part > 0 {
			sum += part
		} else {
			sum += defaultPart
		}
	}
	return min(sum, 1)
}

// Domains returns the failure domains of the reporters that have reported since the time.
func (t *Table) Domains(since time.Time) map[string]bool {
	domains := make(map[string]bool)
	for _, r := range t.reporters {
		if !r.lastSeen.Before(since) {
			domains[r.failureDomain] = true
		}
	}
	return domains
}

// Reporters returns the number of reporters that have reported since the time.
func (t *Table) Reporters(since time.Time) (n int) {
	for _, r := range t.reporters {
		if !r.lastSeen.Before(since) {
			n++
		}
	}
	return n
}

// Addresses returns the addresses of the reporters that have reported since the time.
func (t *Table) Addresses(since time.Time) (list []string) {
	for _, r := range t.reporters {
		if !r.lastSeen.Before(since) && r.address != "" {
			list = append(list, r.address)
		}
	}
	return list
}

// DropReplaced drops the counts of reporters that have been silent since the time if another one of their failure domain has
// reported since. Their VMs report to that one, and would count twice.
func (t *Table) DropReplaced(since time.Time) {
	domains := t.Domains(since)
	for id, r := range t.reporters {
		if r.lastSeen.Before(since) && domains[r.failureDomain] {
			t.clear(r)
			delete(t.reporters, id)
		}
	}
}

// Expire drops counts that have left the window, and reporters that have been silent for as long.
func (t *Table) Expire(now time.Time) {
	index, _ := t.total.Index(now)
	for id, r := range t.reporters {
		if now.Sub(r.lastSeen) > t.window {
			// Their counts have left the window.
			delete(t.reporters, id)
			continue
		}
		for id, stated := range r.rows {
			stated.cells = slices.DeleteFunc(stated.cells, func(c cell) bool { return index-c.index >= usage.Kept })
			if len(stated.cells) == 0 {
				delete(r.rows, id)
				continue
			}
			r.rows[id] = stated
		}
	}
	t.total.Expire(now)
}
