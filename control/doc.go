// Package control carries calls between the project's own processes:
// JSON-RPC 2.0 (sourcegraph/jsonrpc2) over TCP, each frame authenticated.
//
// At the start both ends send a nonce; the session keys come from the cluster
// secret and both nonces by HKDF, one for each direction, so that a frame can
// be neither forged, replayed nor reflected. Frames are not encrypted: they
// carry no secrets.
package control
