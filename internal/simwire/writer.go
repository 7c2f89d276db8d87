package simwire

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"ashshunt/balancer"
)

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte // the message being put together
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
		if err := w.encode(agent, action); err != nil {
			return err
		}
		if err := w.finish(); err != nil {
			return err
		}
	}
	return nil
}

// Broken reports that the decision code of an instance has failed.
func (w *Writer) Broken(agent int, text string) error {
	w.begin("Broken", agent).str("Msg", text)
	return w.finish()
}

// End closes a reply and flushes it.
func (w *Writer) End() error {
	if _, err := w.out.WriteString("{\"msg\":\"Eor\"}\n"); err != nil {
		return err
	}
	return w.out.Flush()
}

// encode puts one action together, all but the end of its line.
func (w *Writer) encode(agent int, action balancer.Action) error {
	switch a := action.(type) {
	case balancer.Send:
		w.begin("Try", agent).str("Job", a.Request).str("Backend", a.Endpoint).positiveMs("PatienceMs", a.Timeout)
	case balancer.Cancel:
		w.begin("Cancel", agent).str("Job", a.Request).num("SendNo", int64(a.Attempt))
	case balancer.Reject:
		w.begin("SayNo", agent).str("Job", a.Request).positiveMs("WaitMs", a.RetryAfter)
	case balancer.Fail:
		w.begin("DropRequest", agent).str("Job", a.Request)
	case balancer.SetTimer:
		w.begin("SetTimer", agent).ms("SpanMs", a.After).num("Cookie", a.Token)
	case balancer.HealthCheck:
		w.begin("Test", agent).str("Backend", a.Endpoint)
	case balancer.Gossip:
		w.begin("WritePeer", agent).recipient("Whom", a).str("Msg", hex.EncodeToString(a.Data))
	case balancer.Subscribe:
		w.begin("KeepInformed", agent).literal("Enable", "true")
	case balancer.Unsubscribe:
		w.begin("KeepInformed", agent).literal("Enable", "false")
	case balancer.PollEndpoints:
		w.begin("ListAll", agent)
	case balancer.CloseIdle:
		w.begin("CloseIdle", agent).str("Backend", a.Endpoint)
	case balancer.LogMessage:
		w.begin("Trace", agent).str("Msg", a.Text)
	default:
		return &UnknownActionError{Action: action}
	}
	return nil
}

// begin starts a message of an instance; the methods below add fields to it.
func (w *Writer) begin(kind string, agent int) *Writer {
	w.buf = append(w.buf[:0], `{"msg":"`...)
	w.buf = append(w.buf, kind...)
	w.buf = append(w.buf, '"')
	return w.num("Agent", int64(agent))
}

// finish ends the message and writes it.
func (w *Writer) finish() error {
	w.buf = append(w.buf, "}\n"...)
	_, err := w.out.Write(w.buf)
	return err
}

func (w *Writer) name(name string) {
	w.buf = append(w.buf, `,"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, `":`...)
}

func (w *Writer) num(name string, v int64) *Writer {
	w.name(name)
	w.buf = strconv.AppendInt(w.buf, v, 10)
	return w
}

func (w *Writer) ms(name string, d time.Duration) *Writer {
	w.name(name)
	w.buf = strconv.AppendFloat(w.buf, float64(d)/float64(time.Millisecond), 'f', -1, 64)
	return w
}

// positiveMs adds a span, which is left out where there is none.
func (w *Writer) positiveMs(name string, d time.Duration) *Writer {
	if d <= 0 {
		return w
	}
	return w.ms(name, d)
}

func (w *Writer) literal(name, v string) *Writer {
	w.name(name)
	w.buf = append(w.buf, v...)
	return w
}

// recipient adds the number of the instance that a gossip message is for, or null for all of them.
func (w *Writer) recipient(name string, gossip balancer.Gossip) *Writer {
	if !gossip.One {
		return w.literal(name, "null")
	}
	return w.num(name, int64(gossip.To))
}

func (w *Writer) str(name, v string) *Writer {
	if !isPlain(v) {
		quoted, _ := json.Marshal(v) // a string always marshals
		return w.literal(name, string(quoted))
	}
	w.name(name)
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, v...)
	w.buf = append(w.buf, '"')
	return w
}

// isPlain reports whether a string needs nothing but quotes around it.
func isPlain(v string) bool {
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
