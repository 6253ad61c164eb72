// Package admission decides, at the agent, which request runs next and at which target.
//
// Each target has an adaptive concurrency limit (additive increase, multiplicative decrease;
// Chiu and Jain, 1989). When no target of a service has headroom, requests wait in short
// queues, one for each workspace, served by start-time fair queueing (Goyal, Vin and Cheng,
// 1996) with the weights of the workspaces; the share that one workspace leaves unused goes
// to the others. A request is charged for the time that it held a slot, so that a workspace
// gains no share by slow requests.
//
// A full queue drops a request of the workspace with the most waiting requests per weight.
// Dropped requests are refused at once, with a time after which to retry.
//
// All functions are pure: time and randomness are arguments, and the caller implements the
// waiting.
package admission
