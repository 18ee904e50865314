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

const spreadRepeats = 5

// measureSpread compares three ways to bring a message to n nodes over
// loopback TCP: one sender to all, a binary tree, and reads of the log by each
// node. The nodes share this process, so the times contain its processor time.
func measureSpread() error {
	for _, size := range []int{300, 8_000, 75_000} {
		out := newSeries()
		for range spreadRepeats {
			for _, n := range sessionSizes {
				for _, degree := range []int{n, 2} {
					took, err := forward(n, degree, size)
					if err != nil {
						return err
					}
					out.add(fmt.Sprintf("%s: ms until at all", map[bool]string{true: "direct", false: "binary tree"}[degree == n]), n, took)
				}
				if err := readLog(out, n, size); err != nil {
					return err
				}
			}
		}
		out.print(fmt.Sprintf("message of %d bytes; sizes are nodes", size), fullAgents)
	}
	return nil
}

// forward sends a message from node 0 to n others. Node i forwards to the nodes
// degree*i+1 to degree*i+degree. It returns the milliseconds until all have it.
func forward(n, degree, size int) (float64, error) {
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
		parent := (i - 1) / degree
		out[parent] = append(out[parent], c)
	}
	var wg sync.WaitGroup
	for i := 1; i <= n; i++ {
		wg.Go(func() {
			var head [4]byte
			if _, err := io.ReadFull(in[i], head[:]); err != nil {
				return
			}
			message := make([]byte, binary.BigEndian.Uint32(head[:]))
			if _, err := io.ReadFull(in[i], message); err != nil {
				return
			}
			send(out[i], message)
		})
	}
	message := make([]byte, size)
	start := time.Now()
	send(out[0], message)
	wg.Wait()
	return float64(time.Since(start).Microseconds()) / 1000, nil
}

func send(conns []net.Conn, message []byte) {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	frame = append(frame, message...)
	for _, c := range conns {
		_, _ = c.Write(frame)
	}
}

// readLog lets n nodes wait at the log for one record.
func readLog(out *series, n, size int) error {
	log, err := platformlog.StartLocal(platformlog.Settings{MaxRecordBytes: 1 << 20})
	if err != nil {
		return err
	}
	defer func() { _ = log.Stop() }()
	p, err := newProxy(log.URL())
	if err != nil {
		return err
	}
	defer func() { _ = p.listener.Close() }()
	var wg sync.WaitGroup
	client := newClient()
	for i := range n {
		// The first node goes through the proxy, which counts its bytes.
		url := log.URL()
		if i == 0 {
			url = p.url()
		}
		reader := journal.NewClient(url, client, 20_000)
		wg.Go(func() { _, _, _ = reader.Read(context.Background(), "configuration", 0, 20_000) })
	}
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
