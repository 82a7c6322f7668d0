package routing

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"time"

	"spanmux/internal/invariant"
	"spanmux/internal/openids"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// errHandedOver ends the exchange of a streamed response that was handed over.
var errHandedOver = errors.New("handed over")

// handoverRecord describes a streamed response that is handed over to the process that replaces this
// one; what was read and not written goes with it. Without a record, what is handed over is an
// incomplete request. It is encoded as JSON between two versions of the program, so its JSON names
// are fixed.
type handoverRecord struct {
	Trace                string // of its transaction, for the log
	Host                 logic.HostID
	Body                 protocol.BodyState
	Framing              protocol.StreamFraming
	ClosesClient         bool     `json:"Closing"`    // the client's connection closes after the response
	FullyRead            bool     `json:"Last"`       // the host has sent everything
	RequestsLearnedState bool     `json:"Asks"`       // requests the learned state; nothing is handed over
	Claim                *idClaim `json:",omitempty"` // of the transaction's trace ID
}

// ListenForHandover listens at path for connections that the previous process hands over; this process
// later hands its own over at the same path.
//
// The learned state is first requested from the previous process: a process that starts without it
// rejects transactions that the hosts could serve.
func (d *Dispatcher) ListenForHandover(path string) error {
	query, err := json.Marshal(handoverRecord{RequestsLearnedState: true})
	invariant.Check(err == nil, "handover record can be encoded")
	if reply := transport.QueryProcess(path, query); json.Unmarshal(reply, &d.predecessor.state) == nil {
		d.predecessor.receivedAt = time.Now()
	}
	listener, err := transport.ListenHandover(path)
	if err != nil {
		return err
	}
	d.handoverPath = path
	if ids, err := openids.OpenShared(path + ".ids"); err != nil {
		slog.Warn("trace IDs are not shared with other processes", "error", err)
	} else {
		d.openIDs = ids
	}
	go listener.Serve(d.adopt)
	return nil
}

// handOver hands a client over with what was received of its request.
func (d *Dispatcher) handOver(c *transport.Client) (handedOver bool) {
	received, complete := c.Retained()
	if handedOver = complete && d.sharedListener && transport.HandOverClient(d.handoverPath, nil, net.Buffers{received}, c); handedOver {
		d.Counters.HandedOver.Add(1)
	}
	return handedOver
}

// adopt continues what the previous process hands over: an incomplete request, or a response and then
// its client. Only a request for the learned state gets a reply.
func (d *Dispatcher) adopt(encoded, received []byte, conns []net.Conn) (reply []byte) {
	if len(encoded) == 0 && len(conns) == 1 {
		d.Counters.Adopted.Add(1)
		d.listener.AdoptPartial(conns[0], received, d.serveClient)
		return nil
	}
	var record handoverRecord
	var body *protocol.Body
	err := json.Unmarshal(encoded, &record)
	if err == nil && record.RequestsLearnedState && len(conns) == 0 {
		return d.encodeLearnedState()
	}
	if err == nil && len(conns) == 2 {
		body = record.Body.Resume(conns[1])
	}
	if body == nil || record.Framing < protocol.FramingLength || record.Framing > protocol.FramingClose {
		slog.Warn("invalid handover record", "connections", len(conns), "error", err)
		for _, conn := range conns {
			conn.Close()
		}
		return nil
	}
	client, host := conns[0], conns[1]
	d.Counters.Adopted.Add(1)
	d.Counters.OpenTransactions.Add(1)
	claim := d.adoptClaim(record.Claim)
	d.listener.Adopt(client, func(c *transport.Client) {
		stream := &responseStream{traceID: record.Trace, startedAt: time.Now(), client: c, hostConn: host, hostID: record.Host, body: body,
			readAhead: adoptedReadAhead(d.responseMemory, received), framing: record.Framing, closesClient: record.ClosesClient, requestComplete: true, fullyRead: record.FullyRead, claim: func() *idClaim { return claim }}
		handedOver, err := d.forwardStream(stream)
		host.Close()
		d.endAdoptedClaim(claim, handedOver, err != nil)
		d.Counters.OpenTransactions.Add(-1)
		switch {
		case handedOver:
			return
		case err != nil:
			d.logStreamBroken(stream, err, true)
			if d.Counters.ResponsesCutOff.Add(1); record.Framing == protocol.FramingClose {
				c.Reset()
			}
		case !record.ClosesClient:
			c.MarkIdle()
			d.serveClient(c)
		}
	})
	return nil
}

// encodeLearnedState returns what this process has learned, for the next one.
func (d *Dispatcher) encodeLearnedState() []byte {
	d.lockCore()
	state := d.core.ExportLearned(d.now())
	d.mu.Unlock()
	text, err := json.Marshal(state)
	invariant.Check(err == nil, "learned state can be encoded")
	return text
}

// importPredecessorState passes the previous process's learned state to the decision core, for the
// hosts known by now. It is called from within callCore.
func (d *Dispatcher) importPredecessorState(now time.Duration) {
	if !d.predecessor.receivedAt.IsZero() {
		d.core.ImportLearned(now, d.predecessor.state, time.Since(d.predecessor.receivedAt))
	}
}
