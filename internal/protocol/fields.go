package protocol

import (
	"bytes"
	"iter"
)

// fieldKind is a header field that this package knows by its name.
type fieldKind int

const (
	otherField fieldKind = iota // any other
	traceIDField
	profileField
	tenantField
	objectField
	expiresInField
	idempotencyKeyField
	neverRanField
	loadReportField
	contentLengthField
	transferEncodingField
	connectionField
	expectField
	keepAliveField
	proxyConnectionField
	teField
	trailerField
	upgradeField
	fieldKinds // their number
)

// fieldNames are the names of the fields by kind.
var fieldNames = [fieldKinds]string{traceIDField: "X-Trace-Id", profileField: "X-Qos", tenantField: "X-Customer", objectField: "X-Object", expiresInField: "X-Expires-In-Ms",
	idempotencyKeyField: "Idempotency-Key", neverRanField: "X-Never-Ran", loadReportField: "Endpoint-Load-Metrics", contentLengthField: "Content-Length",
	transferEncodingField: "Transfer-Encoding", connectionField: "Connection", expectField: "Expect", keepAliveField: "Keep-Alive", proxyConnectionField: "Proxy-Connection",
	teField: "TE", trailerField: "Trailer", upgradeField: "Upgrade"}

// isUnforwarded tells of the fields that concern a single connection, or that the gateway writes itself.
var isUnforwarded = [fieldKinds]bool{connectionField: true, keepAliveField: true, proxyConnectionField: true, teField: true, trailerField: true, transferEncodingField: true, upgradeField: true,
	contentLengthField: true, expectField: true, expiresInField: true, loadReportField: true, neverRanField: true}

// kindsByLength has the kinds by the length of their names.
var kindsByLength = func() (kinds [32][]fieldKind) {
	for kind := otherField + 1; kind < fieldKinds; kind++ {
		length := len(fieldNames[kind])
		kinds[length] = append(kinds[length], kind)
	}
	return kinds
}()

// kindOf returns the kind of the field of a name, in any case.
func kindOf(name []byte) fieldKind {
	if len(name) >= len(kindsByLength) {
		return otherField
	}
	for _, kind := range kindsByLength[len(name)] {
		if equalFold(name, fieldNames[kind]) {
			return kind
		}
	}
	return otherField
}

// knownField is what a head has of a field that is known by its name.
type knownField struct {
	value []byte // of the first one
	count int
}

// parseFields checks the field lines, each with its CRLF, and notes the known ones.
func (h *Head) parseFields(lines []byte) error {
	for rest := lines; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, crlf)
		name, value, ok := bytes.Cut(line, []byte(":"))
		value = trimSpace(value)
		if !ok || !isToken(name) || !isFieldValue(value) {
			return errMalformedField
		}
		kind := kindOf(name)
		if kind == otherField {
			continue
		}
		if h.known[kind].count++; h.known[kind].count == 1 {
			h.known[kind].value = value
		}
	}
	h.fieldLines = lines
	return nil
}

// fields yields the name and the value of each field in order.
func (h *Head) fields() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for rest := h.fieldLines; len(rest) > 0; {
			lineEnd := bytes.IndexByte(rest, '\n') // a value has none
			line := rest[:lineEnd-1]
			rest = rest[lineEnd+1:]
			nameEnd := bytes.IndexByte(line, ':')
			if !yield(line[:nameEnd], trimSpace(line[nameEnd+1:])) {
				return
			}
		}
	}
}

// valuesOf yields the values of the fields of a kind.
func (h *Head) valuesOf(kind fieldKind) iter.Seq[[]byte] {
	return func(yield func(value []byte) bool) {
		switch h.known[kind].count {
		case 0:
			return
		case 1:
			yield(h.known[kind].value)
			return
		}
		for name, value := range h.fields() {
			if kindOf(name) == kind && !yield(value) {
				return
			}
		}
	}
}

// get returns the value of the first field of a kind, and whether there is one.
func (h *Head) get(kind fieldKind) ([]byte, bool) {
	return h.known[kind].value, h.known[kind].count > 0
}

// hasDuplicate reports whether one of these fields occurs more than once.
func (h *Head) hasDuplicate(kinds ...fieldKind) bool {
	for _, kind := range kinds {
		if h.known[kind].count > 1 {
			return true
		}
	}
	return false
}

// trimSpace removes the optional white space of the HTTP grammar from both ends.
func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// connectionOptions returns what the Connection fields name. setFraming has checked that these are few.
func (h *Head) connectionOptions() (options [][]byte) {
	for value := range h.valuesOf(connectionField) {
		for option := range listElements(value) {
			options = append(options, option)
		}
	}
	return options
}

// listElements yields the elements of a comma-separated list, without the empty ones.
func listElements(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(list) > 0 {
			var element []byte
			element, list, _ = bytes.Cut(list, []byte(","))
			if element = trimSpace(element); len(element) > 0 && !yield(element) {
				return
			}
		}
	}
}

// appendForwardedFields appends the fields that are forwarded between client and host: all but those that concern a single
// connection, which Connection fields may name as well.
func (h *Head) appendForwardedFields(dst []byte) []byte {
	options := h.connectionOptions()
next:
	for name, value := range h.fields() {
		if isUnforwarded[kindOf(name)] {
			continue
		}
		for _, option := range options {
			if bytes.EqualFold(name, option) {
				continue next
			}
		}
		dst = append(append(append(append(dst, name...), ": "...), value...), crlf...)
	}
	return dst
}
