package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startEcho starts a TCP echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// clientConn is a client connection through the proxy.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, p *Proxy) clientConn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return clientConn{conn, bufio.NewReader(conn)}
}

// dialAndRead connects and reads once, and returns the first error. Under load, a reset may
// arrive before the dial has returned, so either step may report it.
func dialAndRead(p *Proxy, wait time.Duration) error {
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return err
	}
	_, err = clientConn{conn, bufio.NewReader(conn)}.read(wait)
	return errors.Join(err, conn.Close())
}

// call sends a line and waits for the echo.
func (c clientConn) call(line string, wait time.Duration) (string, error) {
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	return c.read(wait)
}

func (c clientConn) read(wait time.Duration) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	s, err := c.r.ReadString('\n')
	return s, err
}

// Guards against faults that differ from their description: tests of other packages
// would then pass without the fault, or fail for a fault of the proxy.
func TestProxy(t *testing.T) {
	const shortTimeout, longTimeout = 50 * time.Millisecond, 5 * time.Second
	Convey("With a proxy in front of an echo server", t, func() {
		p, err := Listen("127.0.0.1:0", startEcho(t))
		So(err, ShouldBeNil)
		Reset(func() { So(p.Close(), ShouldBeNil) })
		c := dial(t, p)
		s, err := c.call("a", longTimeout)
		So(err, ShouldBeNil)
		So(s, ShouldEqual, "a\n")

		// A delay of one direction only would halve the round-trip time between zones.
		Convey("a delay applies to both directions", func() {
			p.SetDelay(20 * time.Millisecond)
			start := time.Now()
			_, err := c.call("b", longTimeout)
			So(err, ShouldBeNil)
			So(time.Since(start), ShouldBeGreaterThanOrEqualTo, 40*time.Millisecond)
		})
		// The echo needs both directions, so this does not show which of them was kept back: it
		// would also pass if the fault were the same as Pause.
		Convey("a pause of one direction keeps back the echo until heal", func() {
			p.PauseResponses()
			_, err := c.call("held back", shortTimeout)
			So(err, ShouldNotBeNil)
			p.Heal()
			s, err := c.read(longTimeout)
			So(err, ShouldBeNil)
			So(s, ShouldEqual, "held back\n")
			p.PauseRequests()
			_, err = c.call("not sent", shortTimeout)
			So(err, ShouldNotBeNil)
			p.PauseResponses()
			p.Heal()
			s, err = c.read(longTimeout)
			So(err, ShouldBeNil)
			So(s, ShouldEqual, "not sent\n")
		})
		// Reordered bytes would corrupt frames and make correct programs fail.
		Convey("order is kept while the delay shrinks and the link is paused", func() {
			p.SetDelay(30 * time.Millisecond)
			for i := range 200 {
				if i == 50 {
					p.SetDelay(0)
				}
				if i == 100 {
					p.Pause()
				}
				_, err := fmt.Fprintln(c, i)
				So(err, ShouldBeNil)
			}
			p.Heal()
			for i := range 200 {
				s, err := c.read(longTimeout)
				So(err, ShouldBeNil)
				So(s, ShouldEqual, fmt.Sprintln(i))
			}
		})
		// If drop closed connections, the programs under test would notice the fault before
		// their timeouts.
		Convey("drop keeps connections open, and heal resets those that lost data", func() {
			p.Drop()
			_, err := c.call("lost", shortTimeout)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			late := dial(t, p)
			_, err = late.call("late", shortTimeout)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			p.Heal()
			_, err = c.read(longTimeout)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			s, err := late.read(longTimeout)
			So(err, ShouldBeNil)
			So(s, ShouldEqual, "late\n")
		})
		Convey("cut resets old and new connections until heal", func() {
			p.Cut()
			_, err := c.read(longTimeout)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			So(errors.Is(dialAndRead(p, longTimeout), syscall.ECONNRESET), ShouldBeTrue)
			p.Heal()
			_, err = dial(t, p).call("b", longTimeout)
			So(err, ShouldBeNil)
		})
		Convey("reset breaks existing connections only", func() {
			p.Reset()
			_, err := c.read(longTimeout)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			_, err = dial(t, p).call("b", longTimeout)
			So(err, ShouldBeNil)
		})
		// If it were not forwarded, the reader of an HTTP body that ends with the connection
		// would wait forever.
		Convey("the end of a stream is forwarded", func() {
			So(c.Conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_, err := c.read(longTimeout)
			So(err, ShouldEqual, io.EOF)
		})
	})
}

func ExampleProxy() {
	p, err := Listen("127.0.0.1:0", "127.0.0.1:7001")
	if err != nil {
		fmt.Println(err)
		return
	}
	p.SetDelay(time.Millisecond) // In both directions, as between availability zones.
	p.Drop()                     // Callers of p.URL() now receive no response.
	p.Heal()
	fmt.Println(p.Close())
	// Output: <nil>
}
