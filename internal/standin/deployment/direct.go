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

// directSlots keeps direct calls from being refused at the rates of a comparison.
const directSlots = 1024

// directLease is the generation that the lessor grants.
const directLease = 1

// lessor grants a lease to an upstream that no agent uses, since an upstream
// without a lease refuses tasks.
type lessor struct {
	srv  *http.Server
	url  string
	done <-chan error
}

func newLessor() (*lessor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("deployment: lessor: %w", err)
	}
	l := &lessor{url: "http://" + ln.Addr().String()}
	l.srv = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An upstream that receives no answer announces itself again.
		_ = json.NewEncoder(w).Encode(map[string]any{"generation": directLease, "ttl-ms": 10_000})
	})}
	l.done = group.Go(context.Background(), func(context.Context) error { return l.srv.Serve(ln) })
	return l, nil
}

func (l *lessor) close() error {
	err := l.srv.Close()
	if serr := <-l.done; !errors.Is(serr, http.ErrServerClosed) {
		err = errors.Join(err, serr)
	}
	return err
}

func (d *Deployment) planDirect(ports *portPicker) error {
	if !d.cfg.Direct {
		return nil
	}
	addr, err := ports.pick()
	if err != nil {
		return err
	}
	if d.lessor, err = newLessor(); err != nil {
		return err
	}
	d.direct = d.newProcess("direct", "standin-upstream", addr, d.zone(0))
	d.setUpstreamArgs(d.direct, d.lessor.url, directSlots)
	return nil
}

// DirectURL returns the URL at which the direct upstream takes tasks, and the
// lease that each call must carry.
func (d *Deployment) DirectURL() (url, lease string) {
	if d.direct == nil {
		return "", ""
	}
	return d.direct.URL() + "/tasks", fmt.Sprint(directLease)
}

// probeDirect runs a task at the direct upstream.
func (d *Deployment) probeDirect(ctx context.Context) error {
	url, lease := d.DirectURL()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(`{"run-ms":1}`))
	if err != nil {
		return err
	}
	req.Header.Set("Gypsumtide-Lease", lease)
	req.Header.Set("Gypsumtide-Task", "0")
	return do(req)
}
