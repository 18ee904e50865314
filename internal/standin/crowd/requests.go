package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Sizes of requests. HeadBytes and BodyBytes are the largest legal ones.
const (
	HeadBytes = 16384
	BodyBytes = 262144
	// endlessBytes is the size at which a head without end is ended by the client. It is
	// below the limit of net/http, which is 1 MiB.
	endlessBytes = 900_000
	// sendOnBytes is the amount that SendOn and Pipelined send.
	sendOnBytes = 5 << 20
	// smallReceiveBuffer is the receive buffer of clients that read no answer, in bytes, so
	// that the server notices soon that they do not read.
	smallReceiveBuffer = 4096
	// chunkBytes and chunkPause are the size of the pieces in which slow clients send, and the
	// time between two of them.
	chunkBytes = 16384
	chunkPause = 20 * time.Millisecond
)

// Target is the request that a crowd varies.
type Target struct {
	Method, Path, Host string
	// Job is a valid body, which is padded to BodyBytes.
	Job string
}

func (t Target) start() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", t.Method, t.Path, t.Host)
}

// nameDigits are the characters of header names. Names in lower case are converted by the
// server.
const nameDigits = "abcdefghijklmnopqrstuvwxyz"

// shortName returns a header name of two or three characters.
func shortName(n int) string {
	if n < len(nameDigits)*len(nameDigits) {
		return string([]byte{nameDigits[n/len(nameDigits)], nameDigits[n%len(nameDigits)]})
	}
	n -= len(nameDigits) * len(nameDigits)
	return shortName(n / len(nameDigits) % (len(nameDigits) * len(nameDigits)))[:2] + string(nameDigits[n%len(nameDigits)])
}

// lines returns header lines of at most size bytes in one of five forms: short lines with
// different names, the same name again and again, unusual characters and empty values, names
// without a value of one byte, and a single long line.
func lines(form, size int) string {
	var b strings.Builder
	for n := 0; ; n++ {
		var line string
		switch form % 5 {
		case 0:
			line = shortName(n) + ":\r\n"
		case 1:
			line = "q:\r\n"
		case 2:
			line = "!#$%&'*+-.^_`|~" + shortName(n) + ":\t \r\n"
		case 3:
			line = strings.ToUpper(shortName(n)) + ":" + nameDigits[n%26:n%26+1] + "\r\n"
		default:
			line = "long: " + strings.Repeat("x", size-len("long: \r\n")) + "\r\n"
		}
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// ShortLines sends heads of legal size that consist of many header lines, and no body although
// one is announced.
func (t Target) ShortLines(conn net.Conn, i int) error {
	begin, end := t.start(), "Content-Length: 4000\r\n\r\n"
	_, err := io.WriteString(conn, begin+lines(i, HeadBytes-len(begin)-len(end))+end)
	return err
}

// EndlessHeads sends heads over the limit that do not end: most of them of short lines, every
// fourth one a single line, every third one slowly.
func (t Target) EndlessHeads(conn net.Conn, i int) error {
	head := t.start()
	if i%4 == 3 {
		head += "long: " + strings.Repeat("x", endlessBytes)
	} else {
		head += lines(i%4, endlessBytes)
	}
	if i%3 == 0 {
		return sendSlowly(conn, head)
	}
	_, err := io.WriteString(conn, head)
	return err
}

// EmptyLines sends empty lines where a request should begin, half of the clients after a
// complete request.
func (t Target) EmptyLines(conn net.Conn, i int) error {
	data := strings.Repeat("\r\n", endlessBytes/2)
	if i%2 == 1 {
		data = "GET / HTTP/1.1\r\nHost: " + t.Host + "\r\n\r\n" + data
	}
	if i%3 == 0 {
		return sendSlowly(conn, data)
	}
	_, err := io.WriteString(conn, data)
	return err
}

// LargeBodies sends bodies of legal size, half of the clients in pieces. Seven of eight stop one
// byte before the end.
func (t Target) LargeBodies(conn net.Conn, i int) error {
	body := t.Job + strings.Repeat(" ", BodyBytes-len(t.Job))
	if i%8 != 7 {
		body = body[:BodyBytes-1]
	}
	head := fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", t.start(), BodyBytes)
	if i%2 == 0 {
		return sendSlowly(conn, head+body)
	}
	_, err := io.WriteString(conn, head+body)
	return err
}

// request returns a complete request with a body of size bytes.
func (t Target) request(size int) string {
	body := t.Job + strings.Repeat(" ", size-len(t.Job))
	return fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", t.start(), size, body)
}

// Complete sends one complete request.
func (t Target) Complete(conn net.Conn, _ int) error {
	_, err := io.WriteString(conn, t.request(len(t.Job)))
	return err
}

// SendOn sends a complete request, and without waiting for the answer many more with bodies of
// legal size.
func (t Target) SendOn(conn net.Conn, _ int) error {
	data := t.request(len(t.Job)) + strings.Repeat(t.request(BodyBytes), sendOnBytes/BodyBytes)
	_, err := io.WriteString(conn, data)
	return err
}

// Pipelined sends many small complete requests without waiting for the answers. The receive
// buffer of the client is small.
func (t Target) Pipelined(conn net.Conn, _ int) error {
	if c, ok := conn.(timeoutConn); ok {
		if err := c.setReadBuffer(smallReceiveBuffer); err != nil {
			return err
		}
	}
	request := t.request(len(t.Job))
	_, err := io.WriteString(conn, strings.Repeat(request, sendOnBytes/len(request)))
	return err
}

// Idle sends nothing, and every second client one complete request.
func (t Target) Idle(conn net.Conn, i int) error {
	if i%2 == 0 {
		return nil
	}
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: "+t.Host+"\r\n\r\n")
	return err
}

func sendSlowly(conn net.Conn, data string) error {
	for len(data) > 0 {
		n := min(chunkBytes, len(data))
		if _, err := io.WriteString(conn, data[:n]); err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(chunkPause)
	}
	return nil
}
