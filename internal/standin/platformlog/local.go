package platformlog

import (
	"context"
	"fmt"
	"net"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// LocalServer is a log server within this process, on a free port of 127.0.0.1.
type LocalServer struct {
	*Server
	url    string
	cancel context.CancelFunc
	done   <-chan error
	once   sync.Once
	err    error
}

// StartLocal starts a log server with the settings cfg, of which it ignores Listen and
// Log.
func StartLocal(cfg Settings) (*LocalServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platformlog: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &LocalServer{Server: New(cfg, gypsumtide.NewSystemClock()), url: "http://" + listener.Addr().String(), cancel: cancel}
	l.done = group.Go(ctx, func(ctx context.Context) error { return l.Serve(ctx, listener) })
	return l, nil
}

// URL returns the base URL.
func (l *LocalServer) URL() string { return l.url }

// Stop shuts down the server, aborts open requests and returns the error of Serve.
func (l *LocalServer) Stop() error {
	l.cancel()
	l.once.Do(func() { l.err = <-l.done })
	return l.err
}
