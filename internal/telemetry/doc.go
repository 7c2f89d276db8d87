// Package telemetry is the agent's log: its messages and attribute keys, its rate limit and its writer.
package telemetry
