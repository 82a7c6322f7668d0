package routing

import "time"

const (
	// clockOrigin is where the module's clock stands at the start. A host that has started within this time before the
	// gateway is known to have; any warm-up is far shorter.
	clockOrigin                    = time.Hour
	responseTimeReserve            = 5 * time.Millisecond    // of a budget, for the way back: the client's clock started when it sent
	probeTimeout                   = 500 * time.Millisecond  // after which the load of a host is no news
	defaultMaxListPollInterval     = 10 * time.Second        // without asking for the list, where the settings name no bound: a drain's time
	listWatchDuration              = 3 * time.Second         // of a watch's call: one that has fallen silent is known no sooner. With listLate and the next answer's queue, 2 s, it makes the 6 s within which a change counts as told
	listWatchGrace                 = time.Second             // after which a call that waits counts as lost, over that: an answer may queue for some of it
	listCallTimeout                = 2500 * time.Millisecond // the same for one that does not wait: discovery works through calls in turn, and a full queue is 2 s long. Given up sooner, of a full one none was answered
	minListBackoff                 = time.Second             // from the beginning of a call that failed to the next, by chance: discovery that is down, or has too many callers, is not asked sooner
	maxListBackoff                 = 3 * time.Second         // the same at the most: it and an answer's queue, 2 s, stay within the 6 s
	listRetriesPerDrainGrace       = 4                       // of a drain's grace, between calls for a list that is pushed while it can't be had
	minListCallPause               = 100 * time.Millisecond  // before the next call where one brought nothing: within the 200 ms of a watch
	defaultMaxSockets              = 1024                    // what a process may have open where nothing is said of it
	defaultMemoryBytes             = 64 << 20                // bytes that a process may use, ditto
	bodyBudgetDivisor              = 8                       // one byte in so many of that is for bodies over the usual size that are held whole
	readAheadBudgetDivisor         = 8                       // ditto for what is read ahead of clients that are slow to read
	streamBufferBytes              = 16 << 10                // of what is streamed, at a time: one a connection, far under the memory for all
	maxEarlyBodyBytes              = 1 << 20                 // bytes of a body that are read while its host is not there: as much as a client's machine may hold back
	maxReadAheadTailBytes          = 256 << 10               // bytes of an answer that its host is let get rid of at once: as much as its socket may hold
	maxDrainingReadAheadBytes      = 1 << 20                 // ditto where it drains: sockets grow their buffers to some megabytes, and memory bounds it
	drainingHostReceiveBufferBytes = 4 << 20                 // of this machine's socket for such an answer: as much as hosts' sockets grow to; the system may allow less
	unsizedResponseHoldTimeout     = 50 * time.Millisecond   // for an answer that does not say its size to be whole, before it goes on as it comes: a short one is at once
	maxBodyWritersPerTransaction   = 64                      // hops of one transaction whose connections may come up: more than settings allow
	hostStreamIdleTimeout          = 10 * time.Second        // for the next piece of a streamed answer: one that gives none for so long is gone
	clientStreamIdleTimeout        = 10 * time.Second        // for a client to take some of a streamed answer: one that takes none for so long is gone
	defaultIdleConnTimeout         = 4 * time.Second         // for which hosts keep a connection, ditto: a short one among servers
	defaultConnectTimeout          = time.Second             // for a connection to come up, ditto: one lost packet's time
	maxShutdownHardLimit           = 3 * time.Second         // a hard limit, ditto: the longest for which an ending process is let go on
	reservedSockets                = 16                      // beside those of clients and hosts: list, tells, files, those about to close
	overLimitSocketDivisor         = 16                      // one socket in so many is for clients that are turned away
	hostSocketDivisor              = 4                       // one in so many of the others is left to hosts, whatever clients take
	singleProcessSocketFraction    = 0.75                    // of the sockets for a process that may be replaced: the rest is its successor's start
	overlapSocketFraction          = 0.55                    // for one that succeeds another: what that one has becomes fewer
	overlapDuration                = 1500 * time.Millisecond // after the successor takes clients: the one before has hardly any by then
	predecessorActiveDuration      = 10 * time.Second        // after the start: by then the one before has ended, whatever it had taken
	peerListenRetryDelay           = 20 * time.Millisecond   // between tries for an address that is in use
	freshListTimeout               = 1500 * time.Millisecond // for the list to come before an older one will do: it is asked for within a second
	shutdownAcceptDuration         = 600 * time.Millisecond  // for which connections go on coming after the word to end: fronts lag
	shutdownResponseReserve        = 100 * time.Millisecond  // before an ending process ends, for the last answers to be written
	shutdownPollInterval           = 10 * time.Millisecond   // between looks whether all clients have gone: far less than an answer takes
	maxLogLinesPerSecond           = 20                      // log lines of one sort a second: enough to see what it is
)
