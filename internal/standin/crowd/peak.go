package crowd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Peak observes a process until Stop.
type Peak struct {
	pid  int
	stop context.CancelFunc
	done chan struct{}
	// memory is the largest sum of the resident memory and the unread bytes, in bytes.
	memory, unread int64
	fds            int
	err            error
}

// sampleInterval is the time between two samples.
const sampleInterval = 10 * time.Millisecond

// Observe begins to observe a process, which must listen already.
func Observe(pid int) *Peak {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peak{pid: pid, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		for ctx.Err() == nil {
			if p.err = p.sample(); p.err != nil {
				return
			}
			time.Sleep(sampleInterval)
		}
	}()
	return p
}

// sample updates the peaks. An error means that the process has ended.
func (p *Peak) sample() error {
	resident, err := statusBytes(p.pid, "VmRSS")
	if err != nil {
		return err
	}
	unread, fds, err := UnreadBytes(p.pid)
	if err != nil {
		return err
	}
	p.fds = max(p.fds, fds)
	p.unread = max(p.unread, unread)
	p.memory = max(p.memory, resident+unread)
	return nil
}

// Stop ends the observation. It returns the largest memory that the process has had in MiB, and
// the largest number of descriptors. Bytes that the process has received and not yet read count
// as its memory. An error means that the process has ended.
func (p *Peak) Stop() (memoryMb float64, fds int, err error) {
	p.stop()
	<-p.done
	if p.err != nil {
		return 0, 0, p.err
	}
	resident, err := statusBytes(p.pid, "VmHWM")
	if err != nil {
		return 0, 0, err
	}
	return mebibytes(max(p.memory, resident)), p.fds, nil
}

// UnreadMb returns the largest amount of bytes that the process had received and not yet read,
// in MiB. It may be called after Stop.
func (p *Peak) UnreadMb() float64 { return mebibytes(p.unread) }

func mebibytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// statusBytes returns a value of the status of a process that is given in KiB.
func statusBytes(pid int, key string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, value, ok := strings.Cut(string(status), key+":")
	if !ok {
		return 0, fmt.Errorf("process %d has ended", pid)
	}
	var kib int64
	if _, err := fmt.Sscan(value, &kib); err != nil {
		return 0, err
	}
	return kib << 10, nil
}

// openSockets returns the inodes of the sockets of a process and the number of its descriptors.
func openSockets(pid int) (inodes map[string]bool, fds int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	inodes = make(map[string]bool)
	for _, e := range entries {
		// The descriptor may have been closed meanwhile.
		link, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries), nil
}

// Columns of /proc/net/tcp, and the state of listening sockets.
const (
	columnLocal = 1
	columnState = 3
	columnQueue = 4
	columnInode = 9
	stateListen = "0A"
)

// UnreadBytes returns the bytes in the receive queues of a process's TCP sockets, and of the
// connections that the kernel has accepted for its listeners and the process has not. It also
// returns the number of its descriptors.
func UnreadBytes(pid int) (unread int64, fds int, err error) {
	inodes, fds, err := openSockets(pid)
	if err != nil {
		return 0, 0, err
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0, err
	}
	connections, listeners := splitTable(string(table), inodes)
	for _, row := range connections {
		if !inodes[row[columnInode]] && !listeners[row[columnLocal]] {
			continue
		}
		var send, receive int64
		if _, err := fmt.Sscanf(row[columnQueue], "%x:%x", &send, &receive); err == nil {
			unread += receive
		}
	}
	return unread, fds, nil
}

// splitTable returns the rows of connections, and the addresses of those listeners whose inodes
// are given.
func splitTable(table string, inodes map[string]bool) (connections [][]string, listeners map[string]bool) {
	listeners = make(map[string]bool)
	for line := range strings.Lines(table) {
		row := strings.Fields(line)
		if len(row) <= columnInode {
			continue
		}
		if row[columnState] != stateListen {
			connections = append(connections, row)
		} else if inodes[row[columnInode]] {
			listeners[row[columnLocal]] = true
		}
	}
	return connections, listeners
}
