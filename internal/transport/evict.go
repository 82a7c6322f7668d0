package transport

import "time"

// gives tells whether a connection may be closed for another now. One that has said nothing may have been accepted just
// before what it sends is read; nothing may be closed on which something has come.
func (c *Client) gives(now time.Time) bool {
	switch c.doing {
	case ended:
		return true
	case silent:
		return now.Sub(c.since) >= speakWithin && !c.see.any()
	case torn:
		return now.Sub(c.since) >= tornWithin
	case idle:
		return !c.early && !c.see.any()
	}
	return false
}

// closeIdle closes the connection of which least is lost: crowds that say nothing, or never all, must not cost others theirs.
func (f *Front) closeIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var least *Client
	now := time.Now()
	for c := range f.open { // in any order: the least is the same
		if c.place && !c.shut && (least == nil || c.doing < least.doing ||
			c.doing == least.doing && c.since.Before(least.since)) && c.gives(now) {
			least = c
		}
	}
	if least == nil {
		return false
	}
	least.shutNow()
	least.place = false // it is the newcomer's
	f.GaveWay.Add(1)
	return true
}

// thin closes the connection that has been idle longest where too many are. Clients that ask once and keep their connection
// may have no more than so many themselves: kept for them, these would keep out the next.
func (f *Front) thin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle <= max(2, f.most/idleShare) {
		return
	}
	var oldest *Client
	for c := range f.open { // in any order: the oldest is the same
		if c.doing == idle && !c.shut && (oldest == nil || c.since.Before(oldest.since)) && c.gives(time.Now()) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.shutNow()
	}
}

// shutNow closes a connection on which nothing is owed.
func (c *Client) shutNow() {
	c.shut = true
	c.nc.Close()
}
