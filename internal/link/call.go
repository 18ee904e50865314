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
	"gypsumtide/internal/clientlimit"
	"gypsumtide/internal/wire"
)

// ErrNotSent marks the error of a request that has not reached the other entry, so
// that it can be sent again.
var ErrNotSent = errors.New("request was not sent")

// Client makes HTTP calls to other entries.
type Client struct {
	client *http.Client
	// maxBodyBytes limits the size of bodies. Call cuts off a response that is longer;
	// HandleExchange rejects a request that is longer.
	maxBodyBytes int64
}

// NewClient returns a Client that keeps up to maxIdleConnections idle connections to
// each entry.
func NewClient(dialTimeout gypsumtide.Millis, maxIdleConnections int, maxBodyBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	return &Client{
		client:       &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections}},
		maxBodyBytes: maxBodyBytes,
	}
}

// Call sends a request and returns the body of the response. A status other than 200 is an
// error.
func (c *Client) Call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	const operation = "call entry"
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, gypsumtide.NewError(operation, address, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	resp, err := c.client.Do(r)
	if err != nil {
		if gypsumtide.NotSent(err) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, gypsumtide.NewError(operation, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes))
	if err != nil {
		return nil, gypsumtide.NewError(operation, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, gypsumtide.NewError(operation, address, fmt.Errorf("status %d", resp.StatusCode))
	}
	return data, nil
}

// Exchange encodes message, posts it and decodes the response into answer.
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

// HandleExchange handles a request sent by Exchange. It decodes the request into
// message, calls answer and returns its encoded result, which the caller writes. It
// returns false if it has responded with an error.
func (c *Client) HandleExchange(w http.ResponseWriter, r *http.Request, message any, answer func() any) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBodyBytes))
	if err == nil {
		err = wire.Unmarshal(data, message)
	}
	clientlimit.BodyDecoded(r.Context())
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
