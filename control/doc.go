// Package control carries calls between the project's own processes:
// JSON-RPC 2.0 (sourcegraph/jsonrpc2) over TCP, each frame authenticated.
//
// In the handshake both ends send a nonce. HKDF derives a session key for each
// direction from the cluster secret and both nonces, so that frames cannot be
// forged, replayed or reflected. Frames are not encrypted: they carry no
// secrets.
package control
