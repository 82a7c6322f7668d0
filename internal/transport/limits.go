package transport

import "time"

// Sizes and time limits of the package.
const (
	headMemoryTimeout             = 50 * time.Millisecond   // for others to give up memory for a long head: the time of the request runs
	clientReadBufferBytes         = 2 << 10                 // of each client connection that is reading a request
	maxHeadBytes                  = 16 << 10                // longest head of a request: the buffer of one that does not fit clientReadBufferBytes
	hostReadBufferBytes           = 8 << 10                 // per host connection: the heads of responses are short
	discoveryReadBufferBytes      = 16 << 10                // for the connection to discovery: holds a list of some dozen hosts
	sendBufferBytes               = 160 << 10               // socket send buffer: holds a whole message with its head, so that writing it does not block
	hostIdleTimeoutDivisor        = 2                       // idle host connections are closed after the time after which hosts close them, divided by this: well before the host does
	reuseDelay                    = 10 * time.Millisecond   // before a host connection is used again: a second answer to the last request comes some milliseconds late
	reuseWaitInterval             = 100 * time.Millisecond  // between two requests to a host that wait for reuseDelay, so that these delay at most a tenth of a busy host's time
	discoveryConnectTimeout       = 2 * time.Second         // independent of the time that a response may take: a peer that has vanished never responds
	minDiscoveryBytesPerSecond    = 128 << 10               // least rate of a host list that arrives: the longest takes half a minute
	discoverySilenceTimeout       = 1500 * time.Millisecond // between two reads of a host list
	acceptRetryDelay              = 5 * time.Millisecond    // after a failed accept, or while there is no slot: descriptors become free within about this time
	acceptsPerTurn                = 32                      // connections accepted before others have their turn: accepted one by one, clients wait in the queue for as many turns as others came before them
	newClientTimeout              = 2 * time.Second         // for a new client to send its first byte: it connected in order to send
	clientIdleTimeout             = 4 * time.Second         // idle connections are kept as their clients may send again, and each costs a socket
	idleClientsDivisor            = 5                       // one in this many client slots may be idle; beyond that the connection that has been idle longest is closed
	requestTimeout                = 2500 * time.Millisecond // for a request to arrive, the first one from the accept on: a response is promised within 3 s
	overLimitTimeout              = 250 * time.Millisecond  // for a client over the limit to send its request
	overLimitSlotTimeout          = 50 * time.Millisecond   // for a client over the limit that has sent its request to get a slot: the time of the request runs
	newClientGrace                = 20 * time.Millisecond   // before a silent new client may be evicted: as a rule the request follows the connect at once
	idleGrace                     = 100 * time.Millisecond  // before an idle connection may be evicted: a client that sends steadily would have to wait behind a crowd to connect again
	partialRequestGrace           = 250 * time.Millisecond  // before a partial request may be evicted or lose its memory: as a rule requests arrive in one piece
	minBodyBytesPerSecond         = 48 << 10                // least rate of a request body: clients promise 64 kB/s
	bodySilenceTimeout            = 2 * time.Second         // between two reads of a request body: a well-behaved client sends steadily
	streamWriteTimeout            = 10 * time.Second        // for one piece of a streamed response: a client that accepts nothing for this long is taken for dead
	stillWantedPollInterval       = 20 * time.Millisecond   // between checks whether a message that a host does not accept is still wanted: a client's close must take effect within 0.1 s
	briefStreamWriteTimeout       = 20 * time.Millisecond   // for one piece while the host sends more: a socket's buffer fills in that time
	maxBodyDuration               = time.Hour               // for a request body to arrive; its least rate ends it far sooner
	closeGrace                    = 50 * time.Millisecond   // for a request that has arrived on a connection about to close: covers scheduling delays
	drainFirstCloseDelay          = 300 * time.Millisecond  // from the start of a drain: load balancers in front send new clients until then
	drainLastCloseDelay           = 1500 * time.Millisecond // from the start of a drain to the close of the last idle connection: none may be kept for 2 s
	handoverFirstCloseDelay       = 10 * time.Millisecond   // from the start of a handover: another process accepts at once
	handoverLastCloseDelay        = 100 * time.Millisecond  // from the start of a handover to the close of the last idle connection: early, as a slow client that begins a request until then may need seconds to send it
	handoverWriteTimeout          = time.Second             // for the other process, on the same machine, to accept a handover
	queryProcessTimeout           = 200 * time.Millisecond  // for what the previous process has learnt: the start waits for it, and goes on without it
	handoverReadTimeout           = 5 * time.Second         // for a whole handover to arrive: the sending process may get little CPU time
	maxHandoverBytes              = 3 << 20                 // for the record of a handover, a query and its reply
	maxHandoverDataBytes          = 33 << 20                // for the data of a handover: the longest response and its framing, as all of it may have been read ahead
	lingerTimeout                 = 500 * time.Millisecond  // for a client to read the last response before its connection is closed
	maxLingerBytes                = 1 << 20                 // discarded meanwhile: far more than any request has left
	maxUnreadBytes                = 8 << 10                 // that may wait in the socket behind a request: less than any window, so that a client's close, which comes behind them, is noticed
	maxReadAheadBytes             = 128 << 10               // that are read ahead of the next request where more than maxUnreadBytes wait
	readAheadPieceBytes           = 16 << 10                // read ahead at a time
	discardBufferBytes            = 4 << 10                 // read at a time
	minWriteTimeout               = 500 * time.Millisecond  // for a response to be written: as a rule it fits the socket's buffer
	pendingDatagramsPerSender     = 2                       // datagrams of each peer gateway that may wait to be read: a remote pick request and the peer messages sent meanwhile; more would be read after their senders gave up
	minPendingDatagrams           = 400                     // least capacity for datagrams of all senders: a gateway that reports on a thousand hosts needs some forty at once
	receiveBufferBytesPerDatagram = 640                     // part of SO_RCVBUF (which the kernel doubles) that a datagram of the longest size uses on Linux, bookkeeping included
)
