package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformedList marks a list that can't be read, or that has an entry which can't be used.
var ErrMalformedList = errors.New("malformed endpoint list")

// List is discovery's list, or the entries of it that changed.
type List struct {
	Version  int64
	Complete bool // all entries: an endpoint that is missing is gone
	Entries  []Entry
}

// ParseList reads one list and checks all of it: a list of which only a part is taken could silence endpoints that
// are in good health. Its errors are ErrMalformedList.
func ParseList(raw []byte) (List, error) {
	var fields struct {
		Version *int64
		Full    bool
		Servers *[]Entry
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	if fields.Version == nil || fields.Servers == nil {
		return List{}, fmt.Errorf("%w: missing version or servers", ErrMalformedList)
	}
	for _, entry := range *fields.Servers {
		if err := entry.check(); err != nil {
			return List{}, err
		}
	}
	return List{Version: *fields.Version, Complete: fields.Full, Entries: *fields.Servers}, nil
}
