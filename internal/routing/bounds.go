package routing

import "time"

// Bounds and defaults.
const (
	// clockOrigin is what the core's clock shows when the gateway starts. A host that started up to this long before
	// the gateway keeps its start time; any warm-up is far shorter.
	clockOrigin = time.Hour

	// responseTimeReserve is taken off the time budget of each request for the way back: the client's clock has run
	// since it sent the request.
	responseTimeReserve = 5 * time.Millisecond

	// probeTimeout is how long a host may take to answer a probe; an older load report is of no use.
	probeTimeout = 500 * time.Millisecond

	// defaultMaxListPollInterval is how long the gateway may go without asking for the host list where the settings
	// name no bound: as long as a drain takes.
	defaultMaxListPollInterval = 10 * time.Second

	// listWatchDuration is how long discovery may hold a watch call; an unresponsive discovery is noticed no sooner.
	// With listWatchMargin and the queue before the next answer, 2 s, it makes up the 6 s within which a change of the
	// list has to be known.
	listWatchDuration = 3 * time.Second

	// listWatchMargin is added to listWatchDuration before a watch call counts as failed: its answer may queue at
	// discovery for part of it.
	listWatchMargin = time.Second

	// listCallTimeout is the timeout of a call that discovery does not hold. Discovery answers calls in turn and its
	// full queue is 2 s long: with a shorter timeout none of a full queue's calls would be answered.
	listCallTimeout = 2500 * time.Millisecond

	// minListBackoff is the shortest time from the beginning of a failed call to the next one; the time is chosen at
	// random up to maxListBackoff. It spares a discovery that is down or has too many callers.
	minListBackoff = time.Second

	// maxListBackoff is the longest such time: with the queue at discovery, 2 s, it stays within the 6 s (see
	// listWatchDuration).
	maxListBackoff = 3 * time.Second

	// listRetriesPerDrainGrace is the number of calls per grace period of a drain while calls for a pushed list fail.
	listRetriesPerDrainGrace = 4

	// minListCallPause is the shortest time between calls that return nothing new; it stays within the 200 ms allowed
	// to a watch.
	minListCallPause = 100 * time.Millisecond

	// defaultMaxSockets is how many sockets a process may have open where the configuration names no figure.
	defaultMaxSockets = 1024

	// defaultMemoryBytes is how much memory a process may use where the configuration names no figure.
	defaultMemoryBytes = 64 << 20

	// processBytes is what a process uses without any connection.
	processBytes = 10 << 20

	// connectionBytes is what a connection uses at the least: its goroutine and its buffer for reading. A process that
	// shares its listener has no more connections than fit the memory.
	connectionBytes = 16 << 10

	// messageMemoryDivisor: 1/4 of the memory that the process and its connections leave is for requests (heads and
	// bodies that are buffered, and bodies that are read before their host is connected), and the same for responses
	// (those that are buffered, the buffers of those that are streamed, and what is read ahead of slow clients).
	messageMemoryDivisor = 4

	// minMessageMemoryDivisor: each of them has 1/8 of what the process leaves in any case. Connections use less than
	// connectionBytes then, as few of them have a message at a time.
	minMessageMemoryDivisor = 8

	// minBeyondProcessDivisor: at limits near processBytes connections and messages have 1/4 of all memory.
	minBeyondProcessDivisor = 4

	// retainedMemoryDivisor: with a shared listener 1/8 of what the process leaves is for input that is retained for a
	// handover.
	retainedMemoryDivisor = 8

	// requestAllowanceBytes of each request are not taken from the memory for requests: nearly all are that short, and
	// connections are bounded.
	requestAllowanceBytes = 2 << 10

	// requestMemoryTimeout is how long a request waits for memory that others give up. With the wait for a long head it
	// is less than the deadline that is passed on to a host may be too long by.
	requestMemoryTimeout = 50 * time.Millisecond

	// responseAllowanceBytes of each response are not taken from the memory for responses.
	responseAllowanceBytes = 2 << 10

	// streamBufferBytes is how much of a streamed message is buffered at a time.
	streamBufferBytes = 16 << 10

	// smallStreamBufferBytes is the same where there is no memory for streamBufferBytes.
	smallStreamBufferBytes = 4 << 10

	// maxLoadReportBytes bounds the response to a probe: a few figures.
	maxLoadReportBytes = 4 << 10

	// maxEarlyBodyBytes bounds what is read of a body before its host is connected: as much as a client's machine may
	// have buffered.
	maxEarlyBodyBytes = 1 << 20

	// maxReadAheadTailBytes bounds how much of the end of a response is read ahead of a slow client, so that its host
	// is done with it: as much as the host's socket may hold.
	maxReadAheadTailBytes = 256 << 10

	// maxDrainingReadAheadBytes is the same bound for a host that drains. Sockets grow their buffers to some
	// megabytes; memory bounds it.
	maxDrainingReadAheadBytes = 1 << 20

	// drainingHostReceiveBufferBytes is the receive buffer asked for on a connection to a host that drains: as much as
	// hosts' send buffers grow to. The system may allow less.
	drainingHostReceiveBufferBytes = 4 << 20

	// unsizedResponseHoldTimeout is how long a response without a length may take to be complete before it is streamed;
	// a short one is complete at once.
	unsizedResponseHoldTimeout = 50 * time.Millisecond

	// maxBodyWritersPerTransaction bounds the hops of one transaction whose connections come up while its body waits;
	// settings allow fewer.
	maxBodyWritersPerTransaction = 64

	// hostStreamIdleTimeout is how long a host may send nothing of a streamed response before it counts as failed.
	hostStreamIdleTimeout = 10 * time.Second

	// clientStreamIdleTimeout is how long a client may read nothing of a streamed response before it counts as
	// disconnected.
	clientStreamIdleTimeout = 10 * time.Second

	// defaultIdleConnTimeout is how long hosts are taken to keep an idle connection where the settings don't say: a
	// short time among servers.
	defaultIdleConnTimeout = 4 * time.Second

	// defaultConnectTimeout is how long a connection to a host may take to come up where the settings don't say: it
	// allows for one lost packet.
	defaultConnectTimeout = time.Second

	// maxShutdownHardLimit bounds the hard limit for which open transactions are waited for at the end; it also applies
	// where the settings name none.
	maxShutdownHardLimit = 3 * time.Second

	// reservedSockets are for discovery, peer messages, files and connections about to close.
	reservedSockets = 16

	// overLimitSocketDivisor: 1/16 of the sockets is for clients that are rejected.
	overLimitSocketDivisor = 16

	// hostSocketDivisor: 1/4 of the connections is kept for hosts, however many clients there are.
	hostSocketDivisor = 4

	// shortExchangeDivisor: 1/4 of the connections for hosts is kept from streamed responses, which may hold theirs for
	// long, so that short exchanges go on.
	shortExchangeDivisor = 4

	// streamedBodyReserveDivisor: 1/2 of them is kept from streamed request bodies, which can be rejected.
	streamedBodyReserveDivisor = 2

	// singleProcessSocketFraction is the share of the sockets for a process that may be replaced; the rest lets its
	// successor start.
	singleProcessSocketFraction = 0.75

	// overlapSocketFraction is the share for a process while its predecessor may still run, which needs fewer and fewer.
	overlapSocketFraction = 0.55

	// predecessorOverlapDuration is the time from a successor accepting clients until its predecessor has hardly any.
	predecessorOverlapDuration = 1500 * time.Millisecond

	// predecessorActiveDuration is the time after the start by which the predecessor has ended, whatever it had accepted.
	predecessorActiveDuration = 10 * time.Second

	// peerListenRetryDelay separates attempts to listen at an address that the predecessor still uses.
	peerListenRetryDelay = 20 * time.Millisecond

	// freshListTimeout is how long a cached list has to wait for a current one before clients are accepted with it.
	freshListTimeout = 1500 * time.Millisecond

	// shutdownAcceptDuration is how long connections are accepted after the signal to end, as load balancers in front
	// learn of it late.
	shutdownAcceptDuration = 600 * time.Millisecond

	// shutdownResponseReserve is left before the process ends for the last responses to be written.
	shutdownResponseReserve = 100 * time.Millisecond

	// shutdownPollInterval separates checks whether all client connections are closed: far less than a response takes.
	shutdownPollInterval = 10 * time.Millisecond

	// maxLogLinesPerSecond bounds the log lines of one kind.
	maxLogLinesPerSecond = 20
)
