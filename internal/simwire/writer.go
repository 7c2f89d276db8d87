package simwire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"

	"ashshunt/balancer"
)

// Writer writes replies. Each consists of the messages of Actions and Broken, and is closed by End.
type Writer struct {
	out  *bufio.Writer
	line line // the message that is being encoded
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, bufferSize)} }

// UnknownActionError reports an action that has no form on the wire.
type UnknownActionError struct{ Action balancer.Action }

func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("no wire form for action %T", e.Action)
}

// Actions writes the actions of one instance.
func (w *Writer) Actions(agent int, actions []balancer.Action) error {
	for _, action := range actions {
		if err := w.line.encode(agent, action); err != nil {
			return err
		}
		if err := w.writeLine(); err != nil {
			return err
		}
	}
	return nil
}

// Broken reports that the decision code of an instance has failed.
func (w *Writer) Broken(agent int, text string) error {
	w.line.begin(kindBroken, agent).text("Msg", text)
	return w.writeLine()
}

// End closes a reply and flushes it.
func (w *Writer) End() error {
	w.line.beginReplyEnd()
	if err := w.writeLine(); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) writeLine() error {
	_, err := w.out.Write(w.line.end())
	return err
}

// encode replaces what is in the line by the message for an action.
func (l *line) encode(agent int, action balancer.Action) error {
	switch a := action.(type) {
	case balancer.Send:
		l.begin(kindTry, agent).text("Job", a.Request).text("Backend", a.Endpoint)
		l.positiveMilliseconds("PatienceMs", a.Timeout)
	case balancer.Cancel:
		l.begin(kindCancel, agent).text("Job", a.Request).integer("SendNo", int64(a.Attempt))
	case balancer.Reject:
		l.begin(kindSayNo, agent).text("Job", a.Request)
		l.positiveMilliseconds("WaitMs", a.RetryAfter)
	case balancer.Fail:
		l.begin(kindDropRequest, agent).text("Job", a.Request)
	case balancer.SetTimer:
		l.begin(kindSetTimer, agent).milliseconds("SpanMs", a.After).integer("Cookie", a.Token)
	case balancer.HealthCheck:
		l.begin(kindTest, agent).text("Backend", a.Endpoint)
	case balancer.Gossip:
		l.begin(kindWritePeer, agent).recipient("Whom", a).text("Msg", hex.EncodeToString(a.Data))
	case balancer.Subscribe:
		l.begin(kindKeepInformed, agent).literal("Enable", "true")
	case balancer.Unsubscribe:
		l.begin(kindKeepInformed, agent).literal("Enable", "false")
	case balancer.PollEndpoints:
		l.begin(kindListAll, agent)
	case balancer.CloseIdle:
		l.begin(kindCloseIdle, agent).text("Backend", a.Endpoint)
	case balancer.LogMessage:
		l.begin(kindTrace, agent).text("Msg", a.Text)
	default:
		return &UnknownActionError{Action: action}
	}
	return nil
}
