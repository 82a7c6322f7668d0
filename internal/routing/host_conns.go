package routing

// holdHostConn records that a streamed message holds a connection to a host, for as long as its client likes, until
// releaseHostConn. It returns false, and records nothing, if so many are held that short exchanges could not have
// one in reserveDivisor of the connections that are kept for hosts.
func (d *Dispatcher) holdHostConn(reserveDivisor int) bool {
	max := d.connLimit.Max()
	hostSlots, reserve := max-d.listener.ClientSlots(), max/hostSocketDivisor/reserveDivisor
	if int(d.heldHostConns.Add(1)) > hostSlots-reserve {
		d.heldHostConns.Add(-1)
		return false
	}
	return true
}

// releaseHostConn ends what holdHostConn has begun.
func (d *Dispatcher) releaseHostConn() { d.heldHostConns.Add(-1) }
