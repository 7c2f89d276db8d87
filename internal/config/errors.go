package config

import (
	"errors"
	"fmt"
)

// ErrIncomplete marks a configuration whose text is truncated. The file may be in the middle of being written.
var ErrIncomplete = errors.New("incomplete configuration")

var (
	errMissing  = errors.New("required key is missing")
	errNegative = errors.New("want values of at least 0")
)

// KeyError reports an invalid or missing value of a key in the configuration file.
type KeyError struct {
	Key string // name of the key in the file
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the error of the value.
func (e *KeyError) Unwrap() error { return e.Err }

// UnknownWordError reports a setting whose value is not one of the words that it may hold. The error of the same name
// in internal/simwire is for messages, whose fields have no path.
type UnknownWordError struct {
	Key     string // path within the settings object
	Setting string // what the word selects, such as "idempotency"
	Word    string // value in the settings object
}

func (e *UnknownWordError) Error() string {
	return fmt.Sprintf("%s: unknown %s %q", e.Key, e.Setting, e.Word)
}
