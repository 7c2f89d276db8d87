package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformedList marks a list that can't be parsed, or that has an entry which can't be used.
var ErrMalformedList = errors.New("malformed endpoint list")

// List is discovery's list, or the entries of it that changed.
type List struct {
	Version  int64
	Complete bool // it has all entries: an endpoint that it leaves out is gone
	Entries  []Entry
}

// ParseList parses one list in the form that discovery sends and validates all of it: a list that is applied in part
// could leave out healthy endpoints. Its errors are ErrMalformedList.
func ParseList(raw []byte) (List, error) {
	// The names on the wire are in lower case, and encoding/json matches any case. Its errors, which are logged, name
	// the fields as they are written here, so tags would change these texts.
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
		if err := entry.validate(); err != nil {
			return List{}, err
		}
	}
	return List{Version: *fields.Version, Complete: fields.Full, Entries: *fields.Servers}, nil
}
