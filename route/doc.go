// Package route makes and checks connection IDs that are routes.
//
// A QUIC connection ID chosen by an agent (RFC 9000 section 5.1) names the
// agent's address, its incarnation and the service, authenticated with a
// truncated MAC. Any balancer that holds the cluster secret forwards a
// datagram by its connection ID alone: no flow table, no agreement between
// balancers, nothing to replicate.
//
// Layout, 20 bytes:
//
//	0      key number, clear
//	1-4    MAC over the 15 field bytes: SipHash-2-4 truncated to 32 bits
//	5-19   fields, masked: IPv4 address 4, port 2, incarnation 4, service 2, nonce 3
//
// The mask is a SipHash keystream seeded by the MAC (synthetic IV), so that
// an observer neither reads internal addresses nor links two IDs of a flow.
//
// Sources: the idea of a self-describing, authenticated connection ID is
// QUIC-LB's (draft-ietf-quic-load-balancers); a flow that carries its own
// route is Cheetah's (Barbette et al., NSDI 2020). What differs: QUIC-LB maps a
// server ID through configuration shared with every balancer, here the address
// itself is in the ID, so a balancer needs no map; QUIC-LB's four-pass AES has
// no integrity tag, here a forged ID is refused with probability 1 - 2^-32.
//
// Cost: two SipHash calls a datagram, no allocation (BenchmarkDecode).
package route
