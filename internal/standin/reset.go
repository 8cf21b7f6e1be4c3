package standin

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// resetInterval is the time between two checks whether a connection was reset.
const resetInterval = time.Millisecond

// AwaitReset waits until a connection that its peer has closed is reset, which tells that the peer had not read all. It
// returns false if that does not happen in time.
func (c *Client) AwaitReset(limit time.Duration) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	for end := time.Now().Add(limit); err == nil && time.Now().Before(end); time.Sleep(resetInterval) {
		code := 0
		raw.Control(func(fd uintptr) { code, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
		if code != 0 {
			return true
		}
	}
	return false
}
