package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"gypsumtide/internal/group"
)

// directSlots is high enough that direct calls are never refused at the rates at which
// they are compared with calls through the dispatcher.
const directSlots = 1024

// directLease is the lease generation that the leaseServer grants.
const directLease = 1

// leaseServer takes the place of an agent for the direct upstream and grants it a
// lease, since an upstream without a lease refuses tasks.
type leaseServer struct {
	srv  *http.Server
	url  string
	done <-chan error
}

func newLeaseServer() (*leaseServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("deployment: lease server: %w", err)
	}
	l := &leaseServer{url: "http://" + ln.Addr().String()}
	l.srv = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// If the answer is lost, the upstream announces itself again.
		_ = json.NewEncoder(w).Encode(map[string]any{"generation": directLease, "ttl-ms": 10_000})
	})}
	l.done = group.Go(context.Background(), func(context.Context) error { return l.srv.Serve(ln) })
	return l, nil
}

func (l *leaseServer) close() error {
	err := l.srv.Close()
	if serr := <-l.done; !errors.Is(serr, http.ErrServerClosed) {
		err = errors.Join(err, serr)
	}
	return err
}

// planDirect assigns the address of the direct upstream, if Config asks for one, and
// starts its leaseServer.
func (d *Deployment) planDirect(ports *portPicker) error {
	if !d.cfg.Direct {
		return nil
	}
	addr, err := ports.pick()
	if err != nil {
		return err
	}
	if d.leaseServer, err = newLeaseServer(); err != nil {
		return err
	}
	d.direct = d.newProcess("direct", "standin-upstream", addr, d.zone(0))
	d.setUpstreamArgs(d.direct, d.leaseServer.url, directSlots)
	return nil
}

// DirectURL returns the URL at which the direct upstream accepts tasks, and the
// lease generation that each call must carry. Both are empty without such an
// upstream.
func (d *Deployment) DirectURL() (url, lease string) {
	if d.direct == nil {
		return "", ""
	}
	return d.direct.URL() + "/tasks", fmt.Sprint(directLease)
}

// probeDirect runs one short task on the direct upstream.
func (d *Deployment) probeDirect(ctx context.Context) error {
	url, lease := d.DirectURL()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(`{"run-ms":1}`))
	if err != nil {
		return err
	}
	req.Header.Set("Gypsumtide-Lease", lease)
	req.Header.Set("Gypsumtide-Task", "0")
	return doExpectOK(req)
}
