package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

const (
	lineClients     = 300
	endlessClients  = 300
	emptyClients    = 800
	slowReaders     = 300
	prefixClients   = 300
	crowdTime       = 5 * time.Second // for which clients connect anew
	headHold        = 1500 * time.Millisecond
	legalHeadBytes  = 15_000 // below the limit of 16,384
	overLimitBytes  = 30_000
	longAnswerBytes = 3 << 20
	readPause       = time.Second // of slow readers, which read 4 kB in that time
)

// connect opens a connection that ends after crowdTime and a hold at the latest. It returns nil if that fails.
func (s *subject) connect() *net.TCPConn {
	conn, err := net.DialTimeout("tcp", s.caller.String(), time.Second)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(crowdTime + headHold)) // fails only if the connection is closed
	return conn.(*net.TCPConn)
}

// repeat calls f with new connections for crowdTime.
func (s *subject) repeat(f func(conn *net.TCPConn)) {
	for end := time.Now().Add(crowdTime); time.Now().Before(end); {
		if conn := s.connect(); conn != nil {
			f(conn)
			conn.Close()
		} else {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// requestHead returns the head of an ordinary request without its blank line.
func requestHead(number int) string {
	return strings.TrimSuffix(crowdRequest(number).String(), "\r\n")
}

func crowdRequest(number int) *emulator.CallerRequest {
	return &emulator.CallerRequest{ID: fmt.Sprintf("crowd-%d", number), Path: emulator.LookupsPrefix + "1", Deadline: 20 * time.Second}
}

// pad appends lines to a head until it has size bytes: lines of the same empty field, or of different short ones.
func pad(head string, size int, different bool) string {
	var b strings.Builder
	b.WriteString(head)
	for n := 0; b.Len() < size; n++ {
		if different {
			fmt.Fprintf(&b, "%x:\r\n", n)
		} else {
			b.WriteString("a:\r\n")
		}
	}
	return b.String()
}

// Heads of legal size take many times their bytes once parsed. Heads of thousands of lines that are held open before the last line took
// more memory than a host has, and its process ended.
func TestHeadsOfManyLinesExhaustMemory(t *testing.T) {
	c, s := newSubject(t)
	s.attack(c, lineClients, func(number int) {
		head := pad(requestHead(number), legalHeadBytes, number%2 == 1)
		s.repeat(func(conn *net.TCPConn) {
			if _, err := io.WriteString(conn, head); err != nil {
				return
			}
			time.Sleep(headHold)
			if _, err := io.WriteString(conn, "Connection: close\r\n\r\n"); err == nil {
				_, _ = io.Copy(io.Discard, conn) // the answer, a refusal or nothing
			}
		})
	})
}

// Heads that exceed the limit of the table and go on line by line were kept, as only a larger limit of the process and a time limit of 10 s were
// applied.
func TestHeadsWithoutEndExhaustMemory(t *testing.T) {
	c, s := newSubject(t)
	s.attack(c, endlessClients, func(number int) {
		head := pad(requestHead(number), overLimitBytes, number%2 == 1)
		s.repeat(func(conn *net.TCPConn) {
			_, err := io.WriteString(conn, head)
			for end := time.Now().Add(crowdTime); err == nil && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				_, err = io.WriteString(conn, "a:\r\n")
			}
		})
	})
}

// Clients that send empty lines in place of a request and connect anew as soon as they are refused hold one descriptor each, and connections were not
// counted against the descriptors of the host.
func TestEmptyLinesBeforeRequestExhaustDescriptors(t *testing.T) {
	c, s := newSubject(t)
	lines := strings.Repeat("\r\n", 512)
	s.attack(c, emptyClients, func(int) {
		s.repeat(func(conn *net.TCPConn) {
			for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
				_, err = io.WriteString(conn, lines)
			}
		})
	})
}

// The first part of each long answer is held until its reader has taken it. Many readers of a few kB a second took more memory than a host has.
func TestSlowReadersExhaustMemory(t *testing.T) {
	c, s := newSubject(t)
	for _, server := range s.servers {
		server.SetResponseSize(longAnswerBytes)
	}
	s.attack(c, slowReaders, func(number int) {
		head := requestHead(number)
		s.repeat(func(conn *net.TCPConn) {
			if conn.SetReadBuffer(4<<10) != nil {
				return
			}
			if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
				return
			}
			part := make([]byte, 4<<10)
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(readPause) {
				if _, err := conn.Read(part); err != nil {
					return
				}
			}
		})
	})
}

// Each entry of a prompt's prefix takes a few bytes in the head, and took up to 60 while its request was held. Requests of legal size
// with thousands of entries took more memory than a host has (review/6).
func TestLongPromptPrefixesExhaustMemory(t *testing.T) {
	c, s := newSubject(t)
	for _, server := range s.servers {
		server.SetFault(emulator.ServerFault{WorkTime: headHold})
	}
	s.attack(c, prefixClients, func(number int) {
		head := crowdRequest(number).WithPromptParts(1+legalHeadBytes/4) + "Connection: close\r\n\r\n"
		s.repeat(func(conn *net.TCPConn) {
			if _, err := io.WriteString(conn, head); err == nil {
				_, _ = io.Copy(io.Discard, conn) // the answer, a refusal or nothing
			}
		})
	})
}
