package endpoint

import "slices"

// An address belongs to one process at a time. If two serving endpoints are listed with the same address, the process
// of one of them has ended, and the list has not told it yet: a request to it would reach the other one, which may be
// cold, or in another zone or cell.

// ResolveTakeovers returns a list in which no two serving endpoints have the same address, once it is applied to the
// table. Of two endpoints with the same address it keeps the one that started later or, if that is unknown, the one
// that was listed there later. It marks the other one as deleted, or leaves it out of a complete list.
func (t *Table) ResolveTakeovers(list List) List {
	t.mu.RLock()
	defer t.mu.RUnlock()
	isListed := make(map[string]bool, len(list.Entries))
	for _, entry := range list.Entries {
		isListed[entry.ID] = true
	}
	listed := map[string]Entry{} // serving endpoints of the list by address
	var ended []string
	for _, entry := range list.Entries {
		if !entry.IsServing() {
			continue
		}
		other, isTaken := listed[entry.Addr]
		if owner := t.entries[t.owners[entry.Addr]]; !isTaken && !list.Complete && !isListed[owner.ID] {
			other, isTaken = owner, owner.IsServing()
		}
		if isTaken && other.ID != entry.ID && !t.hasTakenOver(entry, other) {
			ended = append(ended, entry.ID)
			continue
		}
		if isTaken && other.ID != entry.ID {
			ended = append(ended, other.ID)
		}
		listed[entry.Addr] = entry
	}
	if len(ended) == 0 {
		return list
	}
	return list.without(ended)
}

// hasTakenOver reports whether the process of an entry has taken over the address of another one, which comes before it
// in the list or is in the table. The caller holds t.mu.
func (t *Table) hasTakenOver(entry, other Entry) bool {
	if entry.StartedAtUnixMs != other.StartedAtUnixMs {
		return entry.StartedAtUnixMs > other.StartedAtUnixMs
	}
	return t.isListedAt(other) || !t.isListedAt(entry)
}

// isListedAt reports whether the table has an entry at its address. The caller holds t.mu.
func (t *Table) isListedAt(entry Entry) bool { return t.entries[entry.ID].Addr == entry.Addr }

// without returns the list with the endpoints of the given IDs as ones that have ended.
func (l List) without(ids []string) List {
	hasEnded := func(entry Entry) bool { return slices.Contains(ids, entry.ID) }
	l.Entries = slices.DeleteFunc(slices.Clone(l.Entries), hasEnded)
	if l.Complete {
		return l
	}
	for _, id := range ids {
		l.Entries = append(l.Entries, Entry{ID: id, State: StateDeleted})
	}
	return l
}
