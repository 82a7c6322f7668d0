package transport

import "time"

// evictable tells whether a connection may be closed for another now. One that has said nothing may have been accepted just
// before what it sends is read; nothing may be closed on which something has come.
func (c *Client) evictable(now time.Time) bool {
	switch c.state {
	case stateFinished:
		return true
	case stateNew:
		return now.Sub(c.stateSince) >= newClientGrace && !c.socket.readable()
	case stateReading:
		return now.Sub(c.stateSince) >= partialRequestGrace
	case stateIdle:
		return !c.pipelined && !c.socket.readable()
	}
	return false
}

// evict closes the connection of which least is lost: crowds that say nothing, or never all, must not cost others theirs.
func (l *Listener) evict() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Client
	now := time.Now()
	for c := range l.clients { // in any order: the least is the same
		if c.holdsSlot && !c.closed && (victim == nil || c.state < victim.state ||
			c.state == victim.state && c.stateSince.Before(victim.stateSince)) && c.evictable(now) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.closeNow()
	victim.holdsSlot = false // it is the newcomer's
	l.Evicted.Add(1)
	return true
}

// trimIdle closes the connection that has been idle longest where too many are. Clients that ask once and keep their connection
// may have no more than so many themselves: kept for them, these would keep out the next.
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

// closeNow closes a connection on which nothing is owed.
func (c *Client) closeNow() {
	c.closed = true
	c.conn.Close()
}
