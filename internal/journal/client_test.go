package journal

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// TestClientResponses guards against a client that takes the outcome of an append as
// known, or a read as successful, when the response does not prove it.
func TestClientResponses(t *testing.T) {
	for _, c := range []struct {
		name           string
		status         int
		body           string
		appendErr      bool
		outcomeUnknown bool
		readErr        bool
		first          uint64
	}{
		{"append accepted", 200, `{"offset":3}`, false, false, true, 0},
		{"append without offset", 200, `{}`, true, true, true, 0},
		{"not JSON", 200, `<html>`, true, true, true, 0},
		{"truncated", 200, `{"offset":`, true, true, true, 0},
		{"server error", 500, ``, true, true, true, 0},
		{"bad gateway", 502, ``, true, true, true, 0},
		{"unavailable", 503, ``, true, true, true, 0},
		{"rate limit", 429, ``, true, false, true, 0},
		{"bad request", 400, ``, true, false, true, 0},
		{"trimmed", 410, `{"first":9}`, true, false, true, 9},
		{"trimmed without first", 410, `{}`, true, false, true, 0},
		{"empty read", 200, `{"records":[],"next":5}`, true, true, false, 0},
		{"next before from", 200, `{"records":[],"next":4}`, true, true, true, 0},
		{"offset before from", 200, `{"records":[{"offset":4}],"next":6}`, true, true, true, 0},
		{"offset not before next", 200, `{"records":[{"offset":6}],"next":6}`, true, true, true, 0},
		{"offsets out of order", 200, `{"records":[{"offset":6},{"offset":5}],"next":7}`, true, true, true, 0},
	} {
		Convey("Response: "+c.name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := NewClient(server.URL+"/", server.Client(), 0)
			_, err := client.Append(context.Background(), "s", []byte("x"))
			So(err != nil, ShouldEqual, c.appendErr)
			So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldEqual, c.outcomeUnknown)
			_, _, err = client.Read(context.Background(), "s", 5, 0)
			So(err != nil, ShouldEqual, c.readErr)
			var trimmed *gypsumtide.TrimmedError
			So(errors.As(err, &trimmed), ShouldEqual, c.first > 0)
			if c.first > 0 {
				So(trimmed.First, ShouldEqual, c.first)
			}
		})
	}
	Convey("Client and stand-in satisfy the contract of gypsumtide.Log", t, func() {
		s, url := startLog(t, 0)
		client := NewClient(url, &http.Client{}, 0)
		for i := range uint64(3) {
			offset, err := client.Append(context.Background(), "s", []byte{byte(i)})
			So(err, ShouldBeNil)
			So(offset, ShouldEqual, i)
		}
		s.Trim("s", 1)
		for _, c := range []struct {
			from, next, first uint64
			records           int
			wait              gypsumtide.Millis
			err               bool
		}{
			{from: 1, next: 3, records: 2, wait: 5000},
			{from: 2, next: 3, records: 1},
			{from: 3, next: 3, wait: 50},
			{from: 0, first: 1, err: true},
			{from: 4, err: true},
		} {
			began := time.Now()
			records, next, err := client.Read(context.Background(), "s", c.from, c.wait)
			So(err != nil, ShouldEqual, c.err)
			So(next, ShouldEqual, c.next)
			So(records, ShouldHaveLength, c.records)
			// Only a read at the end of the stream waits for records.
			So(time.Since(began), ShouldBeLessThan, 4*time.Second)
			So(c.wait != 50 || time.Since(began) >= 50*time.Millisecond, ShouldBeTrue)
			var trimmed *gypsumtide.TrimmedError
			So(errors.As(err, &trimmed), ShouldEqual, c.first > 0)
		}
	})
	Convey("Append and Read time out if the log does not respond", t, func() {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer server.Close()
		defer close(release)
		client := NewClient(server.URL, server.Client(), 50)
		began := time.Now()
		_, err := client.Append(context.Background(), "s", []byte("x"))
		So(errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown), ShouldBeTrue)
		_, _, err = client.Read(context.Background(), "s", 0, 50)
		So(err, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
}
