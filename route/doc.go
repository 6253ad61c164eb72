// Package route encodes and verifies QUIC connection IDs that carry the route
// of their flow.
//
// A QUIC connection ID chosen by an agent (RFC 9000 section 5.1) contains the
// agent's address, its incarnation and the service ID, authenticated with a
// truncated MAC. Any balancer that holds the cluster secret forwards a
// datagram by its connection ID alone, without a flow table, consensus between
// balancers or replicated state.
//
// Layout, 20 bytes:
//
//	0      key number, unencrypted
//	1-4    MAC over the 15 field bytes: SipHash-2-4 truncated to 32 bits
//	5-19   fields, encrypted: IPv4 address 4, port 2, incarnation 4, service 2, nonce 3
//
// The fields are XORed with a SipHash keystream that takes the MAC as its
// synthetic IV, so that an observer can neither read internal addresses nor link
// two connection IDs of the same flow.
//
// Sources: the idea of a self-describing, authenticated connection ID is
// QUIC-LB's (draft-ietf-quic-load-balancers); packets that carry the route of
// their flow are Cheetah's (Barbette et al., NSDI 2020). The differences from
// QUIC-LB: it maps a server ID to an address through configuration shared with
// every balancer, while here the ID contains the address itself and no map is
// needed; its four-pass AES has no integrity tag, while here a forged ID is
// rejected with probability 1 - 2^-32.
//
// Decoding costs two SipHash calls per datagram and allocates nothing
// (BenchmarkDecode).
package route
