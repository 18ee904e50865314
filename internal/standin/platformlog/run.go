package platformlog

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// Run listens on the configured address and serves the stand-in until ctx is done.
func Run(ctx context.Context, cfg Settings, log logr.Logger) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("platformlog: listen: %w", err)
	}
	log.Info("log stand-in is listening", "address", listener.Addr().String())
	return New(cfg, gypsumtide.NewSystemClock()).Serve(ctx, listener)
}

// Serve accepts requests on the listener until ctx is done, and then aborts open
// requests.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	g := group.New(ctx)
	g.Add("serve", func(context.Context) error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	g.Add("close", func(ctx context.Context) error {
		<-ctx.Done()
		// The connections are closed before the blocked requests are released, so that
		// these receive no response.
		err := server.Close()
		s.Close()
		return err
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("platformlog: %w", err)
	}
	return nil
}
