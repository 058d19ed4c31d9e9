// Package httpheader distinguishes end-to-end headers, which a proxy forwards, from hop-by-hop headers.
package httpheader

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that end at this hop (RFC 9110, section 7.6.1), and those that net/http sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true, "Content-Length": true,
}

// IsHopByHop reports whether the header with this canonical name concerns one connection only.
func IsHopByHop(name string) bool { return hopByHop[name] }

// CopyEndToEnd copies the end-to-end headers of src into dst, without those that src's Connection header
// names. Values are shared.
func CopyEndToEnd(dst, src http.Header) {
	for name, values := range src {
		if !hopByHop[name] {
			dst[name] = values
		}
	}
	for _, field := range src["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			delete(dst, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}
