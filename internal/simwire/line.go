package simwire

import (
	"encoding/json"
	"strconv"
	"time"

	"ashshunt/balancer"
)

const (
	decimal     = 10
	float64Bits = 64
)

// line puts one JSON object together. Its buffer is used again, since replies have many lines.
type line struct{ buffer []byte }

// begin starts a message of an instance. The methods below add fields to it.
func (l *line) begin(kind string, agent int) *line {
	l.beginObject(kind)
	return l.integer("Agent", int64(agent))
}

// beginReplyEnd starts the message that ends a reply, which has no further field.
func (l *line) beginReplyEnd() { l.beginObject(kindEndOfReply) }

func (l *line) beginObject(kind string) {
	l.buffer = append(l.buffer[:0], `{"msg":"`...)
	l.buffer = append(l.buffer, kind...)
	l.buffer = append(l.buffer, '"')
}

// end returns the whole line, which is valid until the next begin.
func (l *line) end() []byte {
	l.buffer = append(l.buffer, "}\n"...)
	return l.buffer
}

func (l *line) name(name string) {
	l.buffer = append(l.buffer, `,"`...)
	l.buffer = append(l.buffer, name...)
	l.buffer = append(l.buffer, `":`...)
}

func (l *line) integer(name string, value int64) *line {
	l.name(name)
	l.buffer = strconv.AppendInt(l.buffer, value, decimal)
	return l
}

func (l *line) milliseconds(name string, value time.Duration) *line {
	l.name(name)
	milliseconds := float64(value) / float64(time.Millisecond)
	l.buffer = strconv.AppendFloat(l.buffer, milliseconds, 'f', -1, float64Bits)
	return l
}

// positiveMilliseconds adds a time, which is left out where there is none.
func (l *line) positiveMilliseconds(name string, value time.Duration) {
	if value > 0 {
		l.milliseconds(name, value)
	}
}

// literal adds a value that is JSON already.
func (l *line) literal(name, value string) *line {
	l.name(name)
	l.buffer = append(l.buffer, value...)
	return l
}

// recipient adds the number of the instance that a gossip message is for, or null for all of them.
func (l *line) recipient(name string, gossip balancer.Gossip) *line {
	if !gossip.One {
		return l.literal(name, "null")
	}
	return l.integer(name, int64(gossip.To))
}

func (l *line) text(name, value string) *line {
	if !isPlain(value) {
		quoted, _ := json.Marshal(value) // a string always marshals
		return l.literal(name, string(quoted))
	}
	l.name(name)
	l.buffer = append(l.buffer, '"')
	l.buffer = append(l.buffer, value...)
	l.buffer = append(l.buffer, '"')
	return l
}

// isPlain reports whether a string needs nothing but quotes around it.
func isPlain(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
