package endpoint

import "sync"

// Table holds the entries of the endpoint list. Package discovery applies lists to it. Each attempt consults it right
// before it sends its request, so that a change takes effect before the decision module has handled it. Table is safe
// for concurrent use.
type Table struct {
	mu      sync.RWMutex      // protects the maps; held only for accesses to them
	entries map[string]Entry  // entries by endpoint ID
	owners  map[string]string // IDs of serving endpoints by address
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]Entry{}, owners: map[string]string{}} }

// Apply updates the table from a list. It returns the IDs of the endpoints whose connections are stale and must not be
// used for new requests, because the endpoint is draining, was removed, was restarted, or has a new address. A draining
// endpoint is returned each time it is listed.
func (t *Table) Apply(list List) (stale []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range list.Entries {
		if t.applyEntry(entry) {
			stale = append(stale, entry.ID)
		}
	}
	if list.Complete {
		stale = append(stale, t.removeUnlisted(list.Entries)...)
	}
	return stale
}

// applyEntry updates one entry and reports whether connections to the endpoint became stale. The caller holds t.mu.
func (t *Table) applyEntry(entry Entry) (stale bool) {
	previous, known := t.entries[entry.ID]
	t.remove(previous)
	if entry.State != StateDeleted {
		t.entries[entry.ID] = entry
	}
	if entry.IsServing() {
		t.owners[entry.Addr] = entry.ID
	}
	return known && (!entry.IsServing() || !entry.IsSameProcess(previous))
}

// remove removes an entry. The caller holds t.mu.
func (t *Table) remove(entry Entry) {
	delete(t.entries, entry.ID)
	if t.owners[entry.Addr] == entry.ID {
		delete(t.owners, entry.Addr)
	}
}

// removeUnlisted removes the entries that are not in a complete list and returns their IDs. The caller holds t.mu.
func (t *Table) removeUnlisted(listed []Entry) (removed []string) {
	isListed := make(map[string]bool, len(listed))
	for _, entry := range listed {
		isListed[entry.ID] = true
	}
	for id, entry := range t.entries {
		if !isListed[id] {
			t.remove(entry)
			removed = append(removed, id)
		}
	}
	return removed
}

// LookupServing returns the entry of an endpoint and reports whether new requests may be sent to it.
func (t *Table) LookupServing(id string) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, known := t.entries[id]
	return entry, known && entry.IsServing()
}

// HasServing reports whether there is an endpoint to which new requests may be sent.
func (t *Table) HasServing() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, entry := range t.entries {
		if entry.IsServing() {
			return true
		}
	}
	return false
}
