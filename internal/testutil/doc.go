// Package testutil provides helpers shared by the tests of several packages: fake endpoints, a fake discovery service,
// HTTP clients, an in-memory log and waits with a timeout.
package testutil
