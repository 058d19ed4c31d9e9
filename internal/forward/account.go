package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/azureflow/azureflow/internal/routing"
)

// bearerScheme is the authentication scheme of callers' keys (RFC 6750). Schemes are compared without regard to case.
const bearerScheme = "Bearer"

// keyOf returns the key in a request's Authorization header; ok is false if the header holds anything else. Without a
// header the key is empty.
func keyOf(r *http.Request) (key string, ok bool) {
	values := r.Header["Authorization"]
	if len(values) == 0 {
		return "", true
	}
	if len(values) > 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	return key, found && key != "" && strings.EqualFold(scheme, bearerScheme)
}

// identify sets the client account of the request. It returns the reason for a refusal, or "" if there is none.
func (x *exchange) identify(table *routing.Table) Reason {
	if !table.HasAccounts() {
		return ""
	}
	x.usesAccounts = true
	key, ok := keyOf(x.r)
	if ok && key == "" && x.route.AllowAnonymous {
		return ""
	}
	if !x.keysConfirmed {
		return ReasonKeysUnconfirmed
	}
	if ok {
		x.account = table.AccountByKey(key)
	}
	switch {
	case x.account != nil:
		return ""
	case ok && key == "":
		return ReasonNoKey
	default:
		return ReasonUnknownKey
	}
}

// respondUnidentified refuses a request whose client account is not known.
func (x *exchange) respondUnidentified(reason Reason) {
	if reason == ReasonKeysUnconfirmed {
		x.writeFailure(http.StatusServiceUnavailable, reason, x.h.retryAfter(0))
		return
	}
	x.w.Header()["Www-Authenticate"] = []string{bearerScheme}
	x.writeProblem(http.StatusUnauthorized, reason, "the key in the Authorization header is missing or unknown", 0)
}

// setAccount replaces the key of a request to a server by the name of the client account that it belongs to.
func (x *exchange) setAccount(header http.Header) {
	if !x.usesAccounts {
		return
	}
	delete(header, "Authorization")
	name := http.CanonicalHeaderKey(x.h.opts.Headers.Account)
	delete(header, name)
	if x.account != nil {
		header[name] = []string{string(x.account.Name)}
	}
}

// problem is the body of a failure that the caller can do something about (RFC 9457).
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// problemBody returns a body that describes a failure.
func problemBody(status int, detail string) []byte {
	body, _ := json.Marshal(&problem{Title: http.StatusText(status), Status: status, Detail: detail}) // texts and a number only
	return body
}

// setProblemHeaders sets the headers of a failure with body.
func setProblemHeaders(header http.Header, body []byte) {
	header["Content-Type"] = []string{"application/problem+json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
}
