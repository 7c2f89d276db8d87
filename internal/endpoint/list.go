package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformedList marks a list that can't be parsed or has an invalid entry.
var ErrMalformedList = errors.New("malformed endpoint list")

// List is the complete endpoint list, or a list of the entries that changed.
type List struct {
	Version  int64
	Complete bool // the list has all entries; endpoints without an entry have been removed
	Entries  []Entry
}

// ParseList parses a list in the JSON format of the discovery service. It returns an error if any entry is invalid,
// since applying only the valid ones could remove healthy endpoints. All its errors wrap ErrMalformedList.
func ParseList(raw []byte) (List, error) {
	// The field names are lower case on the wire; encoding/json ignores the case. The fields have no tags, since tags
	// would change the field names in the errors of encoding/json, which are logged.
	var fields struct {
		Version *int64
		Full    bool
		Servers *[]Entry
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	if fields.Version == nil || fields.Servers == nil {
		return List{}, fmt.Errorf("%w: missing version or servers field", ErrMalformedList)
	}
	for _, entry := range *fields.Servers {
		if err := entry.validate(); err != nil {
			return List{}, err
		}
	}
	return List{Version: *fields.Version, Complete: fields.Full, Entries: *fields.Servers}, nil
}
