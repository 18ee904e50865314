package upstream

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// validAnnouncement is an announcement of an upstream that can be used.
const validAnnouncement = `{"name":"u","url":"http://127.0.0.1:1","services":["echo"],"slots":2,"connections":3,"capacity":{"memory-mib":64},"ttl-ms":500}`

// oddAnnouncements replace a part of validAnnouncement.
var oddAnnouncements = map[string][2]string{
	"port out of range":      {`127.0.0.1:1`, `127.0.0.1:99999`},
	"port 0":                 {`127.0.0.1:1`, `127.0.0.1:0`},
	"negative port":          {`127.0.0.1:1`, `127.0.0.1:-1`},
	"port is a name":         {`127.0.0.1:1`, `127.0.0.1:http`},
	"only a port":            {`127.0.0.1:1`, `:1`},
	"url is a number":        {`"http://127.0.0.1:1"`, `7`},
	"slots overflow":         {`"slots":2`, `"slots":9223372036854775807`},
	"slots beyond an int":    {`"slots":2`, `"slots":9223372036854775808`},
	"slots beyond a float":   {`"slots":2`, `"slots":1e400`},
	"connections overflow":   {`"connections":3`, `"connections":9223372036854775807`},
	"lease overflows":        {`"ttl-ms":500`, `"ttl-ms":9223372036854775807`},
	"capacity overflows":     {`"memory-mib":64`, `"memory-mib":9223372036854775807`},
	"negative capacity":      {`"memory-mib":64`, `"memory-mib":-64`},
	"services nested deeply": {`["echo"]`, strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)},
	"nested deeply":          {`"slots":2`, `"x":` + strings.Repeat(`[`, 100_000) + strings.Repeat(`]`, 100_000)},
	"truncated":              {`:500}`, `:500`},
	"bytes of no text":       {validAnnouncement, "\xff\xfe\x00"},
}

// Guards against an announcement that replaces an upstream by one that cannot be reached, that
// makes sums over the upstreams overflow, or whose lease has already expired.
func TestOddAnnouncement(t *testing.T) {
	call := func(r *Registry, method, path, body string) int {
		rec := httptest.NewRecorder()
		r.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
		return rec.Code
	}
	for name, odd := range oddAnnouncements {
		Convey("An odd announcement is refused and the one before it stays in use: "+name, t, func() {
			r, _ := newTestRegistry()
			So(call(r, http.MethodPost, "/v1/upstreams", validAnnouncement), ShouldEqual, http.StatusOK)
			before := r.Announced()
			So(call(r, http.MethodPost, "/v1/upstreams", strings.Replace(validAnnouncement, odd[0], odd[1], 1)), ShouldEqual, http.StatusBadRequest)
			So(r.Announced(), ShouldResemble, before)
			So(before, ShouldHaveLength, 1)
		})
	}
	for _, used := range []string{`{"memory-mib":9223372036854775807}`, `{"accelerators":-1}`, `[]`, `{"memory-mib":1e400}`} {
		Convey("An odd usage in a renewal is refused: "+used, t, func() {
			r, _ := newTestRegistry()
			lease := announce(r, "u", nil)
			body := fmt.Sprintf(`{"generation":%d,"used":%s}`, lease.Generation, used)
			So(call(r, http.MethodPut, "/v1/upstreams/u/lease", body), ShouldEqual, http.StatusBadRequest)
			So(r.Used(), ShouldResemble, gypsumtide.Size{})
		})
	}
}
