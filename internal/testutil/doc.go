// Package testutil has what the tests of several packages share: stand-ins for endpoints, discovery and clients, a log
// that can be read, and waits.
package testutil
