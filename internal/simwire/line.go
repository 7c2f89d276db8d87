package simwire

import (
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"ashshunt/balancer"
)

const (
	decimal     = 10
	float64Bits = 64
)

// lineEncoder encodes one JSON object at a time. It reuses its buffer, since replies have many lines.
type lineEncoder struct{ buffer []byte }

// encode starts a new line with the message for an action. The caller ends it with finish.
func (e *lineEncoder) encode(agent int, action balancer.Action) error {
	switch a := action.(type) {
	case balancer.Send:
		e.startMessage(kindTry, agent).text("Job", a.Request).text("Backend", a.Endpoint)
		e.optionalMilliseconds("PatienceMs", a.Timeout)
	case balancer.Cancel:
		e.startMessage(kindCancel, agent).text("Job", a.Request).integer("SendNo", int64(a.Attempt))
	case balancer.Reject:
		e.startMessage(kindSayNo, agent).text("Job", a.Request)
		e.optionalMilliseconds("WaitMs", a.RetryAfter)
	case balancer.Fail:
		e.startMessage(kindDropRequest, agent).text("Job", a.Request)
	case balancer.SetTimer:
		e.startMessage(kindSetTimer, agent).milliseconds("SpanMs", a.After).integer("Cookie", a.Token)
	case balancer.HealthCheck:
		e.startMessage(kindTest, agent).text("Backend", a.Endpoint)
	case balancer.Gossip:
		e.startMessage(kindWritePeer, agent).recipient("Whom", a).text("Msg", hex.EncodeToString(a.Data))
	case balancer.Subscribe:
		e.startMessage(kindKeepInformed, agent).literal("Enable", "true")
	case balancer.Unsubscribe:
		e.startMessage(kindKeepInformed, agent).literal("Enable", "false")
	case balancer.PollEndpoints:
		e.startMessage(kindListAll, agent)
	case balancer.CloseIdle:
		e.startMessage(kindCloseIdle, agent).text("Backend", a.Endpoint)
	case balancer.LogMessage:
		e.startMessage(kindTrace, agent).text("Msg", a.Text)
	default:
		return &UnknownActionError{Action: action}
	}
	return nil
}

// startMessage starts a message of an instance. The methods below append fields to it.
func (e *lineEncoder) startMessage(kind string, agent int) *lineEncoder {
	e.startObject(kind)
	return e.integer("Agent", int64(agent))
}

// startReplyEnd starts the message that ends a reply. It has no further fields.
func (e *lineEncoder) startReplyEnd() { e.startObject(kindEndOfReply) }

func (e *lineEncoder) startObject(kind string) {
	e.buffer = append(e.buffer[:0], `{"msg":"`...)
	e.buffer = append(e.buffer, kind...)
	e.buffer = append(e.buffer, '"')
}

// finish returns the complete line, which is valid until the next message is started.
func (e *lineEncoder) finish() []byte {
	e.buffer = append(e.buffer, "}\n"...)
	return e.buffer
}

func (e *lineEncoder) fieldName(name string) {
	e.buffer = append(e.buffer, `,"`...)
	e.buffer = append(e.buffer, name...)
	e.buffer = append(e.buffer, `":`...)
}

func (e *lineEncoder) integer(name string, value int64) *lineEncoder {
	e.fieldName(name)
	e.buffer = strconv.AppendInt(e.buffer, value, decimal)
	return e
}

func (e *lineEncoder) milliseconds(name string, value time.Duration) *lineEncoder {
	e.fieldName(name)
	milliseconds := float64(value) / float64(time.Millisecond)
	e.buffer = strconv.AppendFloat(e.buffer, milliseconds, 'f', -1, float64Bits)
	return e
}

// optionalMilliseconds appends a duration, or nothing if it is not positive.
func (e *lineEncoder) optionalMilliseconds(name string, value time.Duration) {
	if value > 0 {
		e.milliseconds(name, value)
	}
}

// literal appends a value that is already JSON.
func (e *lineEncoder) literal(name, value string) *lineEncoder {
	e.fieldName(name)
	e.buffer = append(e.buffer, value...)
	return e
}

// recipient appends the number of the instance that receives a gossip message, or null if all instances do.
func (e *lineEncoder) recipient(name string, gossip balancer.Gossip) *lineEncoder {
	if !gossip.One {
		return e.literal(name, "null")
	}
	return e.integer(name, int64(gossip.To))
}

func (e *lineEncoder) text(name, value string) *lineEncoder {
	if !needsNoEscaping(value) {
		quoted, _ := json.Marshal(value) // encoding a string never fails
		return e.literal(name, string(quoted))
	}
	e.fieldName(name)
	e.buffer = append(e.buffer, '"')
	e.buffer = append(e.buffer, value...)
	e.buffer = append(e.buffer, '"')
	return e
}

// needsNoEscaping reports whether a string is valid JSON once it is quoted.
func needsNoEscaping(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
