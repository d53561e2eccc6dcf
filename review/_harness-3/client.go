package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// client sends requests on one connection, one after the other.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// clientAddresses is the number of loopback addresses from which clients connect. Connections that have ended keep their ports for a minute.
const clientAddresses = 100

// dial opens a connection to an address of a world, from one of the clients' addresses there.
func dial(address string) (*client, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	from := to.Addr().As4()
	from[3] = byte(130 + rand.IntN(clientAddresses))
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from[:]}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// do sends a request, as it is, and reads the response.
func (c *client) do(request []byte, method string, timeout time.Duration) (status int, header http.Header, body []byte, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	if _, err = c.conn.Write(request); err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body = make([]byte, 0, 512)
	for {
		var part [4096]byte
		n, err := resp.Body.Read(part[:])
		body = append(body, part[:n]...)
		if err != nil {
			if err.Error() == "EOF" {
				return resp.StatusCode, resp.Header, body, nil
			}
			return resp.StatusCode, resp.Header, body, err
		}
	}
}

func head(method, path, hostName, key, id, deadline string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\n\r\n", method, path, hostName, key, id, deadline)
}
