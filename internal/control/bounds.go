package control

import "time"

// Bounds of the admin server.
const (
	// MaxConnections bounds the open connections: some operators, some metrics collectors, and silent clients besides.
	MaxConnections = 24

	// readBufferBytes is enough for a request: a line and a few header fields.
	readBufferBytes = 4 << 10

	// maxBodyBytes bounds the body of a request, which needs none.
	maxBodyBytes = 4 << 10

	// readTimeout is how long a request may take to be read completely.
	readTimeout = 2 * time.Second

	// writeTimeout is how long a client may take to read the response; a later one is of no use.
	writeTimeout = time.Second

	// closeLingerTimeout is how long input is discarded after the response, so that the client can read it.
	closeLingerTimeout = 200 * time.Millisecond

	// acceptRetryDelay follows a failed accept: descriptors are freed that fast.
	acceptRetryDelay = 5 * time.Millisecond
)
