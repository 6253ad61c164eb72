// Package admission decides, at the agent, which request runs next and where.
//
// Each target has a concurrency limit that adapts to what it bears (additive
// increase, multiplicative decrease; Chiu and Jain, 1989). When no target of a
// service has room, requests wait in short queues, one for each workspace, served
// by start-time fair queueing (Goyal, Vin and Cheng, 1996) with the workspaces'
// weights; what one workspace leaves unused the others get. A request is charged
// the time it held a slot, so that slow requests do not win share.
//
// A full queue drops from the workspace with the most waiting per weight, and
// what is given up on is refused at once with a time to come back.
//
// Everything is pure: time and randomness are arguments, waiting is the
// caller's business.
package admission
