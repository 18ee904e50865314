package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// ErrNotSent marks an error of a request that has not reached the other entry.
var ErrNotSent = errors.New("request was not sent")

// Client makes HTTP calls to other entries.
type Client struct {
	client *http.Client
	// maxBytes bounds the body of an answer, and of a request in Answer.
	maxBytes int64
}

// NewClient returns a Client that keeps up to idle connections to each entry.
func NewClient(dialTimeout gypsumtide.Millis, idle int, maxBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	return &Client{
		client:   &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idle}},
		maxBytes: maxBytes,
	}
}

// Call sends body and returns the body of the answer.
func (c *Client) Call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	const step = "call entry"
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, gypsumtide.NewError(step, address, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	resp, err := c.client.Do(r)
	if err != nil {
		if gypsumtide.NotSent(err) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, gypsumtide.NewError(step, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes))
	if err != nil {
		return nil, gypsumtide.NewError(step, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, gypsumtide.NewError(step, address, fmt.Errorf("status %d", resp.StatusCode))
	}
	return data, nil
}

// Exchange posts a message and decodes the answer.
func (c *Client) Exchange(ctx context.Context, address, path string, message, answer any) error {
	body, err := wire.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	data, err := c.Call(ctx, http.MethodPost, address, path, body)
	if err != nil {
		return err
	}
	return wire.Unmarshal(data, answer)
}

// HandleExchange serves what Exchange asks: it decodes the message, and returns the
// encoded answer that answer gives. It reports false once it has sent an error.
func (c *Client) HandleExchange(w http.ResponseWriter, r *http.Request, message any, answer func() any) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBytes))
	if err == nil {
		err = wire.Unmarshal(data, message)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	data, err = wire.Marshal(answer())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return nil, false
	}
	return data, true
}
