package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"gypsumtide"
)

const (
	// DefaultTimeout limits an append. A read may take this long in addition to
	// its long poll. A write that the log syncs to disk takes several ms.
	DefaultTimeout gypsumtide.Millis = 1000
	// readBatch is the maximum number of records requested in one read.
	readBatch = 1000
	// maxResponseBytes bounds a response body, so that a faulty log cannot exhaust memory.
	maxResponseBytes = 256 << 20
)

// Client reads and appends records over the HTTP API of the platform's log.
type Client struct {
	baseURL string
	http    *http.Client
	timeout gypsumtide.Millis
}

var _ gypsumtide.Log = (*Client)(nil)

// NewClient returns a client for the log at the base URL. A timeout of 0 or less means
// DefaultTimeout.
func NewClient(baseURL string, httpClient *http.Client, timeout gypsumtide.Millis) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), http: httpClient, timeout: timeout}
}

// BatchLimit returns the maximum number of records that a read returns. A read
// that returns fewer has reached the end of the stream.
func (c *Client) BatchLimit() int { return readBatch }

// Append implements gypsumtide.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, c.wrapError("append", err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.http.Do(req)
	if err != nil {
		if gypsumtide.NotSent(err) {
			return 0, c.wrapError("append", err)
		}
		return 0, c.wrapError("append", outcomeUnknown(err))
	}
	defer closeBody(resp)
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return 0, c.wrapError("append", statusError(resp))
	}
	if resp.StatusCode != http.StatusOK {
		return 0, c.wrapError("append", outcomeUnknown(statusError(resp)))
	}
	var response struct {
		Offset *uint64 `json:"offset"`
	}
	if err := decodeResponse(resp, &response); err != nil {
		return 0, c.wrapError("append", outcomeUnknown(err))
	}
	if response.Offset == nil {
		return 0, c.wrapError("append", outcomeUnknown(errors.New("response has no offset")))
	}
	return *response.Offset, nil
}

// Read implements gypsumtide.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait gypsumtide.Millis) ([]gypsumtide.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + c.timeout).Duration())
	defer cancel()
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("wait-ms", strconv.FormatInt(int64(wait), 10))
	query.Set("max", strconv.Itoa(readBatch))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, c.wrapError("read", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, c.wrapError("read", err)
	}
	defer closeBody(resp)
	if resp.StatusCode == http.StatusGone {
		return nil, 0, c.wrapError("read", trimmedError(resp))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, c.wrapError("read", statusError(resp))
	}
	var response struct {
		Records []struct {
			Offset uint64 `json:"offset"`
			Data   []byte `json:"data"`
		} `json:"records"`
		Next *uint64 `json:"next"`
	}
	if err := decodeResponse(resp, &response); err != nil {
		return nil, 0, c.wrapError("read", err)
	}
	if response.Next == nil || *response.Next < from {
		return nil, 0, c.wrapError("read", errors.New("response has no valid next offset"))
	}
	records := make([]gypsumtide.Record, 0, len(response.Records))
	minOffset := from
	for _, r := range response.Records {
		if r.Offset < minOffset || r.Offset >= *response.Next {
			return nil, 0, c.wrapError("read", fmt.Errorf("response has offset %d out of order", r.Offset))
		}
		minOffset = r.Offset + 1
		records = append(records, gypsumtide.Record{Offset: r.Offset, Data: r.Data})
	}
	return records, *response.Next, nil
}

func (c *Client) streamURL(stream string) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) wrapError(operation string, err error) error {
	return gypsumtide.NewError("journal: "+operation, c.baseURL, err)
}

// outcomeUnknown marks the error of an append that may have taken effect.
func outcomeUnknown(err error) error {
	return fmt.Errorf("%w: %w", gypsumtide.ErrAppendOutcomeUnknown, err)
}

// trimmedError returns a TrimmedError with the first offset that the log still has, or
// another error if the response does not contain it.
func trimmedError(resp *http.Response) error {
	var response struct {
		First *uint64 `json:"first"`
	}
	if err := decodeResponse(resp, &response); err != nil {
		return err
	}
	if response.First == nil {
		return errors.New("offset trimmed, and the response has no first offset")
	}
	return &gypsumtide.TrimmedError{First: *response.First}
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
}

func decodeResponse(resp *http.Response, v any) error {
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// closeBody drains up to 64 KiB of the body before closing it, so that the
// connection can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
