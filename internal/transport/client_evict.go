package transport

import "time"

// evictable reports whether the connection may be closed now in favour of another. A new or idle connection is
// not while it has unread bytes. A new one is kept for newClientGrace in any case, since its first bytes may
// arrive just after its accept, a partial request for partialRequestGrace, and an idle one for idleGrace. The
// caller holds the listener's lock.
func (c *Client) evictable(now time.Time) bool {
	switch c.state {
	case stateFinished:
		return true
	case stateNew:
		return now.Sub(c.stateSince) >= newClientGrace && !c.socket.readable()
	case stateReading:
		return now.Sub(c.stateSince) >= partialRequestGrace
	case stateIdle:
		return now.Sub(c.stateSince) >= idleGrace && !c.pipelined && !c.socket.readable()
	}
	return false
}

// evict closes the evictable connection with the lowest state, and of several the one that has been in that
// state longest, so that many silent connections or partial requests do not displace those of other clients.
// The slot of the closed connection passes to the caller. It returns false if there is none to close.
func (l *Listener) evict() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Client
	now := time.Now()
	for c := range l.clients { // in any order: the victim is the same
		if c.holdsSlot && !c.closed && (victim == nil || c.state < victim.state ||
			c.state == victim.state && c.stateSince.Before(victim.stateSince)) && c.evictable(now) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.closeNow()
	victim.holdsSlot = false // it is the caller's now
	l.Evicted.Add(1)
	return true
}

// reclaimRequestMemory ends the reading of the request that has been incomplete longest. released is called once its
// memory is free. It returns false if none has been incomplete for partialRequestGrace.
func (l *Listener) reclaimRequestMemory(released func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Client
	for c := range l.clients { // in any order: the victim is the same
		if c.state == stateReading && !c.closed && !c.reclaimed.Load() && (victim == nil || c.stateSince.Before(victim.stateSince)) {
			victim = c
		}
	}
	if victim == nil || time.Since(victim.stateSince) < partialRequestGrace {
		return false
	}
	victim.reclaimed.Store(true)
	victim.memoryReleased = released
	victim.conn.SetReadDeadline(time.Now())
	return true
}

// RequestMemoryReleased records that the memory of a request that was not read to its end has been given back.
func (c *Client) RequestMemoryReleased() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.endReclaim()
}

// endReclaim ends the wait for the memory of the client's request: it is free, or the request is complete and keeps it.
// The caller holds the listener's lock.
func (c *Client) endReclaim() {
	if c.memoryReleased != nil {
		c.memoryReleased()
		c.memoryReleased = nil
	}
}

// trimIdle closes the connection that has been idle longest if more than one in idleClientsDivisor of the
// client slots (at least two) is idle. Otherwise clients that send one request and keep the connection open
// would take the slots of those that come next.
func (l *Listener) trimIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleClients <= max(2, l.maxClients/idleClientsDivisor) {
		return
	}
	var oldest *Client
	for c := range l.clients { // in any order: the oldest is the same
		if c.state == stateIdle && !c.closed && (oldest == nil || c.stateSince.Before(oldest.stateSince)) && c.evictable(time.Now()) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.closeNow()
	}
}

// closeNow closes a connection that has no response outstanding. The caller holds the listener's lock.
func (c *Client) closeNow() {
	c.closed = true
	c.conn.Close()
}
