// Package telemetry defines the messages and attribute keys of the agent's log, its rate limit and its asynchronous
// writer.
package telemetry
