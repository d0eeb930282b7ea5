package callerapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bergamotstile/structs"
)

// headerReader reads headers. It keeps the first refusal and ignores later ones.
type headerReader struct {
	header  http.Header
	refusal *structs.Refusal
}

func (h *headerReader) refuse(format string, args ...any) {
	if h.refusal == nil {
		h.refusal = structs.NotRun(structs.ReasonBadRequest, format, args...)
	}
}

// text returns the value of a header, or "" if it is absent. The value must be visible
// ASCII of at most limit characters. A repeated header is refused, since readers may
// differ in which of its values they use.
func (h *headerReader) text(name string, limit int) string {
	values := h.header.Values(name)
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		h.refuse("header %s is repeated", name)
		return ""
	}
	if !isVisibleASCII(values[0], limit) {
		h.refuse("header %s must be 1 to %d visible ASCII characters", name, limit)
		return ""
	}
	return values[0]
}

// name returns the value of a header that must be a valid name, or "" if it is absent.
func (h *headerReader) name(name string) string {
	value := h.text(name, maxNameBytes)
	if value != "" && !isValidName(value) {
		h.refuse("header %s must be a name of letters, digits, '-', '_' and '.'", name)
	}
	return value
}

// milliseconds returns the duration in a header, or zero if it is absent. The value must
// be from 1 ms to limit.
func (h *headerReader) milliseconds(name string, limit time.Duration) time.Duration {
	value := h.text(name, maxNameBytes)
	if value == "" {
		return 0
	}
	n, ok := parseDecimal(value)
	if !ok || n < 1 || n > uint64(limit.Milliseconds()) {
		h.refuse("header %s must be a whole number from 1 to %d", name, limit.Milliseconds())
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// parseDecimal parses a decimal number of digits only. Signs, underscores and leading
// zeros are not allowed in headers.
func parseDecimal(s string) (uint64, bool) {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	if len(s) > 1 && s[0] == '0' {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil
}

func isVisibleASCII(s string, limit int) bool {
	if len(s) == 0 || len(s) > limit {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func isValidName(s string) bool {
	if len(s) == 0 || len(s) > maxNameBytes || s[0] == '.' {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// readBody reads a body of at most limit bytes. It refuses a body that is shorter than
// its declared length, so that no handler acts on it.
func readBody(r *http.Request, limit int64) ([]byte, *structs.Refusal) {
	if r.ContentLength > limit {
		return nil, refuseTooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return nil, structs.NotRun(structs.ReasonBadRequest, "the body could not be read: %v", err)
	case int64(len(body)) > limit:
		return nil, refuseTooLarge(limit)
	case r.ContentLength > 0 && int64(len(body)) != r.ContentLength:
		return nil, structs.NotRun(structs.ReasonBadRequest, "the body has %d bytes, not %d", len(body), r.ContentLength)
	}
	return body, nil
}

func refuseTooLarge(limit int64) *structs.Refusal {
	return structs.NotRun(structs.ReasonTooLarge, "the body exceeds %d bytes", limit)
}
