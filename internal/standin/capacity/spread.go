package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"gypsumtide"
	"gypsumtide/internal/journal"
	"gypsumtide/internal/standin/platformlog"
)

// spreadRepetitions is how many times measureSpread measures each size.
const spreadRepetitions = 5

// measureSpread compares three ways to distribute a message to n nodes over
// loopback TCP: one sender to all nodes, a binary tree, and each node reading the
// log. All nodes run in this process, so the times include its processor time.
func measureSpread() error {
	for _, size := range []int{300, 8_000, 75_000} {
		out := newSeries()
		for range spreadRepetitions {
			for _, n := range sessionSizes {
				for _, fanOut := range []int{n, 2} {
					took, err := broadcast(n, fanOut, size)
					if err != nil {
						return err
					}
					out.add(fmt.Sprintf("%s: ms until at all", map[bool]string{true: "direct", false: "binary tree"}[fanOut == n]), n, took)
				}
				if err := runLogReads(out, n, size); err != nil {
					return err
				}
			}
		}
		out.print(fmt.Sprintf("message of %d bytes; sizes are nodes", size), designAgents)
	}
	return nil
}

// broadcast sends a message from node 0 to n others and returns the milliseconds
// until all have received it. Node i forwards it to the nodes fanOut*i+1 to
// fanOut*i+fanOut.
func broadcast(n, fanOut, size int) (float64, error) {
	// Node i receives the message on the connection in[i] and forwards it to those of
	// out[i].
	out := make([][]net.Conn, n+1)
	in := make([]net.Conn, n+1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	for i := 1; i <= n; i++ {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		if in[i], err = l.Accept(); err != nil {
			return 0, err
		}
		defer func() { _ = in[i].Close() }()
		parent := (i - 1) / fanOut
		out[parent] = append(out[parent], c)
	}
	var wg sync.WaitGroup
	for i := 1; i <= n; i++ {
		wg.Go(func() {
			var header [4]byte
			if _, err := io.ReadFull(in[i], header[:]); err != nil {
				return
			}
			message := make([]byte, binary.BigEndian.Uint32(header[:]))
			if _, err := io.ReadFull(in[i], message); err != nil {
				return
			}
			sendToAll(out[i], message)
		})
	}
	message := make([]byte, size)
	start := time.Now()
	sendToAll(out[0], message)
	wg.Wait()
	return float64(time.Since(start).Microseconds()) / 1000, nil
}

// sendToAll writes the message, prefixed with its length, to all connections.
func sendToAll(conns []net.Conn, message []byte) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	frame = append(frame, message...)
	for _, c := range conns {
		_, _ = c.Write(frame)
	}
}

// runLogReads measures how long it takes until n nodes, each with a read of the log
// pending, have received a new record, and how many bytes a read transfers with the
// record and without any.
func runLogReads(out *series, n, size int) error {
	log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 1 << 20})
	if err != nil {
		return err
	}
	defer func() { _ = log.Stop() }()
	p, err := newCountingProxy(log.URL())
	if err != nil {
		return err
	}
	defer func() { _ = p.listener.Close() }()
	var wg sync.WaitGroup
	client := newClient()
	for i := range n {
		// The first node reads through the proxy, which counts its bytes.
		url := log.URL()
		if i == 0 {
			url = p.url()
		}
		reader := journal.NewClient(url, client, 20_000)
		wg.Go(func() { _, _, _ = reader.Read(context.Background(), "configuration", 0, 20_000) })
	}
	// This leaves time for all nodes to send their reads to the log.
	time.Sleep(200*time.Millisecond + time.Duration(n)*300*time.Microsecond)
	start := time.Now()
	log.Append("configuration", make([]byte, size))
	wg.Wait()
	out.add("log read: ms until at all", n, float64(time.Since(start).Microseconds())/1000)
	out.add("log read: bytes per node", n, float64(p.bytes.Load()))
	before := p.bytes.Load()
	reader := journal.NewClient(p.url(), client, 1000)
	if _, _, err := reader.Read(context.Background(), "configuration", 1, gypsumtide.Millis(1)); err != nil {
		return err
	}
	out.add("log read: bytes of an empty read", n, float64(p.bytes.Load()-before))
	client.CloseIdleConnections()
	return nil
}
