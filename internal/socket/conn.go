package socket

import "net"

// Conn is a TCP connection.
type Conn struct{ net.Conn }

// NewConn returns a connection on top of another one.
func NewConn(conn net.Conn) Conn { return Conn{conn} }
