package transport

import "time"

// Sizes and time limits of the package, each with its reason.
const (
	clientBufferSize              = 16 << 10                // bytes, read buffer of a client's connection: the longest head
	hostBufferSize                = 8 << 10                 // bytes, read buffer of a host's connection: its heads are short
	discoveryBufferSize           = 16 << 10                // bytes, read buffer of the line to discovery: a list of some dozen hosts
	sendBufferSize                = 160 << 10               // bytes, socket send buffer: a whole message with its head, so that writing it does not block
	hostIdleDivisor               = 2                       // hosts close idle connections after a known time; ours are dropped after this part of it, well before
	discoveryConnectTimeout       = 2 * time.Second         // for the line to connect: a peer that vanished sends nothing, however long calls may wait
	minDiscoveryBytesPerSecond    = 128 << 10               // bytes a second, least rate of a list that arrives: the longest takes half a minute
	discoverySilenceTimeout       = 1500 * time.Millisecond // between two pieces of a list
	acceptRetryDelay              = 5 * time.Millisecond    // after a failed accept, or while there is no slot: descriptors come free that fast
	newClientTimeout              = 2 * time.Second         // for a new client to send its first byte: it connected in order to
	clientIdleTimeout             = 4 * time.Second         // for which an idle connection is kept, as its client may send again: it costs a socket
	idleClientsDivisor            = 5                       // one client slot in so many may be idle; beyond that the longest idle is closed
	requestTimeout                = 2500 * time.Millisecond // for a request to arrive, the first from the accept on: a response is promised within 3 s
	overLimitTimeout              = 250 * time.Millisecond  // for a client over the limit to send its request
	newClientGrace                = 20 * time.Millisecond   // before a silent new client may be evicted: its request follows its connect at once
	partialRequestGrace           = 250 * time.Millisecond  // before a partial request may be evicted: requests arrive in one piece as a rule
	minBodyBytesPerSecond         = 48 << 10                // bytes a second, least rate of a body: 64 kB/s are promised by clients
	bodySilenceTimeout            = 2 * time.Second         // between two pieces of a body: an honest client sends as it goes
	streamWriteTimeout            = 10 * time.Second        // for one piece of a stream: a peer that takes nothing for so long is gone
	stillWantedPollInterval       = 20 * time.Millisecond   // between checks whether a piece that a host does not take is still wanted: a client's close must be acted on within 0.1 s
	streamWriteBriefTimeout       = 20 * time.Millisecond   // for one piece while the host sends more meanwhile: a socket's buffer fills in that time
	maxBodyDuration               = time.Hour               // for a body to arrive: its least rate ends it far sooner
	closeGrace                    = 50 * time.Millisecond   // for a request that has arrived on a connection about to close: some scheduling
	drainFirstClose               = 300 * time.Millisecond  // after a drain begins: until then load balancers in front still send new clients
	drainLastClose                = 1500 * time.Millisecond // by when the last idle connection is closed: none may be kept for 2 s
	handoverFirstClose            = 10 * time.Millisecond   // after a handover begins: another process accepts at once
	handoverLastClose             = 100 * time.Millisecond  // by when the last idle connection is closed: a slow client may need seconds for its request
	handoverWriteTimeout          = time.Second             // for a handover to be taken: the other process is on this machine
	queryProcessTimeout           = 200 * time.Millisecond  // for what the previous process has learnt: a start waits for it, and goes on without
	handoverReadTimeout           = 5 * time.Second         // for all of a handover to arrive: the other process may get little of a core
	maxHandoverBytes              = 3 << 20                 // bytes of one handover: mostly the longest body that is held whole
	lingerTimeout                 = 500 * time.Millisecond  // for a client to read a last response before its connection is closed
	maxLingerBytes                = 1 << 20                 // bytes discarded meanwhile: far more than any request has left
	minWriteTimeout               = 500 * time.Millisecond  // for a response to be written: it fits the socket's buffer as a rule
	pendingDatagramsPerSender     = 2                       // datagrams of each other gateway that may wait to be read: an ask and what is told meanwhile; more would be read after their senders gave up
	minPendingDatagrams           = 400                     // of all senders together, at the least: a gateway that tells of a thousand hosts needs some forty at once
	receiveBufferBytesPerDatagram = 640                     // bytes of SO_RCVBUF, which the kernel doubles, that a datagram of the longest size uses up, bookkeeping included, as measured on Linux
)
