package config

import (
	"errors"
	"fmt"
)

// ErrIncomplete marks the text of a configuration that ends too early: it may be just being written.
var ErrIncomplete = errors.New("incomplete configuration")

var (
	errMissing  = errors.New("missing")
	errNegative = errors.New("negative")
)

// KeyError reports a key of the configuration file whose value is not valid.
type KeyError struct {
	Key string // as it stands in the file
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the value.
func (e *KeyError) Unwrap() error { return e.Err }

// UnknownWordError reports a setting that holds none of the words that the agent knows. An error of the same name in
// internal/simwire is about the messages there, which have no paths.
type UnknownWordError struct {
	Key     string // the path within the settings object
	Setting string // what the word names
	Word    string
}

func (e *UnknownWordError) Error() string {
	return fmt.Sprintf("%s: unknown %s %q", e.Key, e.Setting, e.Word)
}
