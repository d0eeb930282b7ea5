package runnerapi

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

const sha256Member = "sha-256="

// digestMatches reports whether a Content-Digest header holds the sha-256 digest of the
// body. The header is a dictionary (RFC 9530, RFC 8941); members for other algorithms
// are ignored.
func digestMatches(header string, body []byte) bool {
	want := ContentDigest(body)
	for _, member := range strings.Split(header, ",") {
		member = strings.TrimSpace(member)
		if strings.HasPrefix(member, sha256Member) {
			return member == want
		}
	}
	return false
}

// ContentDigest returns the value of a Content-Digest header with the sha-256 digest of
// the body (RFC 9530).
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
