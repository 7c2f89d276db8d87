package endpoint

import "sync"

// Table is the endpoint list as last received. Discovery applies lists to it, and attempts consult it right before
// their first byte, so that a change takes effect when it is read and not in the decision module's next step. Its
// methods may be called on any goroutine.
type Table struct {
	mu      sync.RWMutex     // protects entries; held for map accesses only
	entries map[string]Entry // by ID
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]Entry{}} }

// Apply updates the table by a list. It returns the IDs of the endpoints whose connections must not be used
// again: the endpoint drains, is gone, has another address or was restarted.
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

// applyEntry updates one entry and reports whether that makes connections stale. The caller holds t.mu.
func (t *Table) applyEntry(entry Entry) (stale bool) {
	previous, known := t.entries[entry.ID]
	if entry.State == StateDeleted {
		delete(t.entries, entry.ID)
	} else {
		t.entries[entry.ID] = entry
	}
	return known && (!entry.IsServing() || !entry.IsSameProcess(previous))
}

// removeUnlisted removes all entries that are not in a complete list and returns their IDs. The caller holds t.mu.
func (t *Table) removeUnlisted(listed []Entry) (removed []string) {
	isListed := make(map[string]bool, len(listed))
	for _, entry := range listed {
		isListed[entry.ID] = true
	}
	for id := range t.entries {
		if !isListed[id] {
			delete(t.entries, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// LookupServing returns the entry of an endpoint, and whether it may get new requests.
func (t *Table) LookupServing(id string) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, known := t.entries[id]
	return entry, known && entry.IsServing()
}

// HasServing reports whether some endpoint may get new requests.
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
