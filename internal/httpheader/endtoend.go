// Package httpheader tells the headers that pass a proxy from those that concern one connection only.
package httpheader

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that end at this hop (RFC 9110, section 7.6.1), and those that net/http sets anew.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true, "Content-Length": true,
}

// IsHopByHop reports whether the header with this canonical name concerns one connection only.
func IsHopByHop(name string) bool { return hopByHop[name] }

// CopyEndToEnd copies the headers of src that pass a proxy into dst, without those that src's Connection header
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
