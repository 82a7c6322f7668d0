package control

import "time"

const (
	// MaxConnections is how many callers there may be at once: some operators, some collectors of figures, and silent ones beside.
	MaxConnections     = 24
	readBufferBytes    = 4 << 10                // bytes: a call is a line and a few fields
	maxBodyBytes       = 4 << 10                // bytes of a body, which no call needs
	readTimeout        = 2 * time.Second        // for a call to come whole: what is longer gives no word of itself
	writeTimeout       = time.Second            // for the answer to be taken: one that comes later is of no use
	closeLingerTimeout = 200 * time.Millisecond // for the caller to read it before the connection is closed
	acceptRetryDelay   = 5 * time.Millisecond   // after an accept that went wrong: descriptors come free that fast
)
