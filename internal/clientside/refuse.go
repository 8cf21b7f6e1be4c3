package clientside

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gorsewell/internal/pgwire"
)

// refuseArrived answers the commands that have arrived on a connection which is closed at once, as there is no room for
// it, with a busy reply each. Without that, a client that sent several could not tell what became of them. It waits for
// nothing: what has not arrived stays unread, so that the close becomes a reset.
func refuseArrived(netConn *net.TCPConn, maxMessage int) {
	commands, ok := countArrived(netConn, maxMessage)
	if !ok || commands == 0 {
		return
	}
	busy := pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", "too many connections", ""))
	reply := pgwire.AppendStartupReply(nil)
	for range commands {
		reply = append(reply, busy...)
	}
	netConn.SetWriteDeadline(time.Now().Add(closeGrace))
	netConn.Write(reply)
}

// countArrived reads what has arrived on a new connection and returns the number of complete commands behind the startup
// packet. It returns false if there is no complete startup packet.
func countArrived(netConn *net.TCPConn, maxMessage int) (commands int, ok bool) {
	raw, err := netConn.SyscallConn()
	if err != nil {
		return 0, false
	}
	buffer := pgwire.ReadBuffer{MaxMessage: maxMessage}
	for unread := unreadBytes(raw); unread > 0; {
		space := buffer.Space()
		n, err := netConn.Read(space[:min(len(space), unread)])
		if err != nil {
			return commands, ok
		}
		unread -= n
		buffer.Filled(n)
		if !ok {
			_, size, err := pgwire.ParseStartup(buffer.Bytes())
			if err != nil {
				return 0, false
			}
			buffer.Discard(size)
			ok = size > 0
		}
		for ok {
			m, complete, err := buffer.Next()
			if err != nil || complete && m.Type != pgwire.Query {
				return commands, true
			}
			if !complete {
				break
			}
			commands++
		}
		if size := pgwire.MessageSize(buffer.Bytes()); ok && !buffer.Holds(size) && len(buffer.Bytes())+unread >= size {
			commands++
			buffer.Skip(size)
		}
	}
	return commands, ok
}

// unreadBytes returns how many bytes have arrived on a connection and were not read. It returns 0 if the socket fails.
func unreadBytes(raw syscall.RawConn) (n int) {
	var err error
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) != nil || err != nil {
		return 0
	}
	return n
}
