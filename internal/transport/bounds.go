package transport

import "time"

const (
	clientBufferSize        = 16 << 10                // bytes, of a client's connection: the longest head
	hostBufferSize          = 8 << 10                 // bytes, of a host's: its heads are short
	lineBufferSize          = 16 << 10                // bytes, of the list's line: a list of some dozen hosts
	sendBufferSize          = 160 << 10               // bytes: a whole message with its head, so that writing it does not wait
	hostIdleDivisor         = 2                       // of the time for which hosts keep a connection: to it, not over it, we drop ours
	lineConnectTimeout      = 2 * time.Second         // for a line to come up: what vanished says nothing, however long calls may wait
	lineMinRate             = 128 << 10               // bytes a second, of a list that comes, at the least: the longest one in half a minute
	lineSilenceTimeout      = 1500 * time.Millisecond // for the next piece of one
	acceptRetryDelay        = 5 * time.Millisecond    // after an accept that went wrong, or for room: descriptors come free that fast
	newClientTimeout        = 2 * time.Second         // for a new client to say something: it came in order to
	clientIdleTimeout       = 4 * time.Second         // for which a client that may come again is kept: it costs a socket
	idleClientsDivisor      = 5                       // one client in so many of the most there may be is kept idle, the latest ones
	requestTimeout          = 2500 * time.Millisecond // for a message to come whole; a first one, from connecting: a word is owed in 3 s
	overLimitTimeout        = 250 * time.Millisecond  // for a client over the limit to send what it came for
	newClientGrace          = 20 * time.Millisecond   // before a new client that says nothing gives way: what it sends comes with it
	partialRequestGrace     = 250 * time.Millisecond  // before a message that is not whole gives way: it comes in one piece as a rule
	bodyMinRate             = 48 << 10                // bytes a second, of a body at the least: 64 kB are promised
	bodySilenceTimeout      = 2 * time.Second         // for the next piece of one: an honest client sends as it goes
	streamWriteTimeout      = 10 * time.Second        // for one piece of what is streamed: a side that takes none for so long is gone
	wantedPollInterval      = 20 * time.Millisecond   // between looks whether one is still wanted that its host does not take: within the 0.1 s after which a client has gone
	streamWriteBriefTimeout = 20 * time.Millisecond   // for one, where its host gives more meanwhile: a socket's buffer fills in that time
	maxBodyTime             = time.Hour               // for a body to come: its pace ends it far sooner
	closeGrace              = 50 * time.Millisecond   // for a message that has come to a connection about to close: some scheduling
	drainFirstClose         = 300 * time.Millisecond  // after the word to send clients away: until then fronts send new ones
	drainLastClose          = 1500 * time.Millisecond // by when the last idle one is closed: nobody may be held for 2 s after it
	handoverFirstClose      = 10 * time.Millisecond   // after the word to end, where another process takes what comes at once
	handoverLastClose       = 100 * time.Millisecond  // by when the last idle one is closed: a slow client may need seconds from its first byte on
	handoverWriteTimeout    = time.Second             // for what is handed over to be taken: the other process is on this machine
	learntStateTimeout      = 200 * time.Millisecond  // for what a process before has learnt: a start waits for it, and goes on without
	handoverReadTimeout     = 5 * time.Second         // for all of it to come: the other process may get little of a core
	maxHandoverBytes        = 3 << 20                 // bytes that are handed over at a time: the longest body that is held whole is most of it
	lingerTimeout           = 500 * time.Millisecond  // for a client to read a last answer before its connection is closed
	maxLingerBytes          = 1 << 20                 // bytes of what it still sends meanwhile: far over any message
	minWriteTimeout         = 500 * time.Millisecond  // for an answer to be written: it fits the socket's buffer as a rule
)
