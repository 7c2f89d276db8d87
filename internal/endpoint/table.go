package endpoint

import "sync"

// Table is the endpoint list as last received. Discovery applies lists to it and attempts look into it right before
// their first byte, so that a change counts from the moment it is read, not from the decision module's next step.
type Table struct {
	mu      sync.RWMutex     // protects entries; held for map accesses only
	entries map[string]Entry // by ID
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]Entry{}} }

// Apply takes over a list and returns the IDs of the endpoints whose connections must get no further requests: those
// that drain, are gone, moved to another address or were started again.
func (t *Table) Apply(list List) (retired []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range list.Entries {
		listed[entry.ID] = true
		previous, known := t.entries[entry.ID]
		if known && (!entry.Serving() || !entry.SameProcess(previous)) {
			retired = append(retired, entry.ID)
		}
		if entry.State == StateDeleted {
			delete(t.entries, entry.ID)
		} else {
			t.entries[entry.ID] = entry
		}
	}
	if !list.Complete {
		return retired
	}
	for id := range t.entries {
		if !listed[id] {
			delete(t.entries, id)
			retired = append(retired, id)
		}
	}
	return retired
}

// Serving returns the entry of an endpoint, and whether it may get new requests.
func (t *Table) Serving(id string) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, known := t.entries[id]
	return entry, known && entry.Serving()
}

// AnyServing reports whether some endpoint may get new requests.
func (t *Table) AnyServing() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, entry := range t.entries {
		if entry.Serving() {
			return true
		}
	}
	return false
}
