package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Slots is the number of slots of the window.
	Slots = 20
	// spare is the number of older slots that are kept, so that a decision may be made some time after the last one.
	spare = 8
	// Kept is the number of slots that are kept.
	Kept = Slots + spare
	// idBits is the length of the identifiers of organisations. Among 5,000 names, two have the same one with a probability of 4e-8.
	idBits = 48
)

// ID returns the identifier of the organisation with the name. All VMs use the same one.
func ID(name string) uint64 {
	return xxhash.Sum64String(name) >> (64 - idBits)
}

// Count is a number of offered requests and of those among them that were refused.
type Count struct {
	Offered, Refused int32
}

// Admitted returns the number of admitted requests.
func (c Count) Admitted() int32 {
	return c.Offered - c.Refused
}

// Cell is the count of one slot; Age is 0 for the present slot.
type Cell struct {
	Age int
	Count
}

// Entry holds counts of an organisation.
type Entry struct {
	ID uint64
	// Cells are the slots that have changed, or all slots with requests.
	Cells []Cell
	// Part is the reporter's part of the organisation's demand as it was last told, or 0 if it isn't known.
	Part float64
	// Fresh is the number of requests that were less than two slots old when VMs reported them to the reporter, since its last report.
	Fresh int
}

// row holds the counts of an organisation. The cell of a slot is at its index modulo Kept; newest is the latest index.
type row struct {
	newest    int64
	cells     [Kept]Count
	revisions [Kept]uint64
	revision  uint64
}

// Table holds the counts of all active organisations.
type Table struct {
	slot     time.Duration
	start    time.Time
	rows     map[uint64]*row
	revision uint64
}

// New returns an empty table with a window of the length.
func New(window time.Duration, now time.Time) *Table {
	return &Table{slot: window / Slots, start: now, rows: make(map[uint64]*row)}
}

// Index returns the index of the slot at the time, and the fraction of the slot that has passed.
func (t *Table) Index(now time.Time) (index int64, passed float64) {
	elapsed := now.Sub(t.start)
	return int64(elapsed / t.slot), float64(elapsed%t.slot) / float64(t.slot)
}

// Add adds the count to the slot with the index. Counts for slots that are too old are dropped.
func (t *Table) Add(id uint64, index int64, c Count) {
	r := t.rows[id]
	if r == nil {
		r = &row{newest: index}
		t.rows[id] = r
	}
	if index <= r.newest-Kept {
		return
	}
	if index-r.newest >= Kept {
		r.cells, r.revisions = [Kept]Count{}, [Kept]uint64{}
	} else {
		for i := r.newest + 1; i <= index; i++ {
			r.cells[position(i)], r.revisions[position(i)] = Count{}, 0
		}
	}
	r.newest = max(r.newest, index)
	cell := &r.cells[position(index)]
	cell.Offered += c.Offered
	cell.Refused += c.Refused
	t.revision++
	r.revision = t.revision
	r.revisions[position(index)] = t.revision
}

// position returns the position of a slot in a row. Indexes of slots before the start of the table are negative.
func position(index int64) int64 {
	return (index%Kept + Kept) % Kept
}

// Counts returns the counts of the organisation by their age in slots before the index.
func (t *Table) Counts(id uint64, index int64) (counts [Kept]Count) {
	r := t.rows[id]
	if r == nil {
		return counts
	}
	for age := range int64(Kept) {
		if i := index - age; i <= r.newest && i > r.newest-Kept {
			counts[age] = r.cells[position(i)]
		}
	}
	return counts
}

// Changes returns the slots of the window that have changed after the revision, and the present revision.
func (t *Table) Changes(after uint64, now time.Time) ([]Entry, uint64) {
	index, _ := t.Index(now)
	var entries []Entry
	for id, r := range t.rows {
		if r.revision > after {
			if cells := r.changes(after, index); len(cells) > 0 {
				entries = append(entries, Entry{ID: id, Cells: cells})
			}
		}
	}
	return entries, t.revision
}

// changes returns the slots that have changed after the revision, in the window that ends with the index.
func (r *row) changes(after uint64, index int64) (cells []Cell) {
	for i := min(r.newest, index); i > max(index-Slots, r.newest-Kept); i-- {
		if p := position(i); r.revisions[p] > after {
			cells = append(cells, Cell{Age: int(index - i), Count: r.cells[p]})
		}
	}
	return cells
}

// IDs calls yield for each active organisation.
func (t *Table) IDs(yield func(uint64) bool) {
	for id := range t.rows {
		if !yield(id) {
			return
		}
	}
}

// Len returns the number of active organisations.
func (t *Table) Len() int {
	return len(t.rows)
}

// Expire drops organisations without requests in the window.
func (t *Table) Expire(now time.Time) {
	index, _ := t.Index(now)
	for id, r := range t.rows {
		if index-r.newest >= Kept {
			delete(t.rows, id)
		}
	}
}
