// Package forwardlink implements the gRPC call with which a host that reaches no backend
// server hands a caller's request on to another host. The other host sends the request to
// servers as if it were its own caller's, and streams the answer back.
//
// A request is offered first and sent only once the offer was accepted. So it has certainly
// not run if a dead link or a host in the same trouble is tried, and the time budget counts
// from the acceptance on the other host's own clock.
package forwardlink

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegway/nutmegway/internal/base/boottime"
	"github.com/nutmegway/nutmegway/internal/fleet/config"
	"github.com/nutmegway/nutmegway/internal/request/account"
	"github.com/nutmegway/nutmegway/internal/request/forwardlink/forwardlinkpb"
)

var classError = errs.Class("forwardlink")

const (
	// offerTimeout bounds the time until another host accepts a request.
	offerTimeout = 150 * time.Millisecond
	// checkTimeout bounds the question whether another host reaches backend servers. That host
	// may try several.
	checkTimeout = 500 * time.Millisecond
	// maxOffers bounds the hosts that one request is offered to.
	maxOffers = 3
	// refusalMemory is how long a host that did not accept a request is tried last.
	refusalMemory = time.Second
	// maxAcceptanceAge is how old an acceptance may be when its request arrives. A request
	// that a stalled link delivers later may have no caller any more.
	maxAcceptanceAge = time.Second
)

func encodeHeader(header http.Header) []*forwardlinkpb.Header {
	encoded := make([]*forwardlinkpb.Header, 0, len(header))
	for name, values := range header {
		if len(values) == 0 {
			continue
		}
		h := &forwardlinkpb.Header{Name: name}
		for _, value := range values {
			h.Values = append(h.Values, []byte(value))
		}
		encoded = append(encoded, h)
	}
	return encoded
}

func decodeHeader(encoded []*forwardlinkpb.Header) http.Header {
	header := make(http.Header, len(encoded))
	for _, h := range encoded {
		for _, value := range h.GetValues() {
			header[h.GetName()] = append(header[h.GetName()], string(value))
		}
	}
	return header
}

func encodeGrant(grant *account.Grant) *forwardlinkpb.Grant {
	encoded := &forwardlinkpb.Grant{Account: grant.Account, KeyDigest: grant.Key[:]}
	if left, ok := grant.Left(); ok {
		encoded.ValidMicros = proto.Int64(left.Microseconds())
	}
	return encoded
}

// decodeGrant returns the grant of a request that was accepted at accepted. It returns nil if
// there is none or it is malformed.
func decodeGrant(encoded *forwardlinkpb.Grant, accepted boottime.Instant) *account.Grant {
	if encoded == nil || len(encoded.GetKeyDigest()) != len(config.Digest{}) {
		return nil
	}
	grant := &account.Grant{Account: encoded.GetAccount(), Key: config.Digest(encoded.GetKeyDigest())}
	if encoded.ValidMicros != nil {
		grant.Expires = accepted.Add(time.Duration(encoded.GetValidMicros()) * time.Microsecond)
	}
	return grant
}
