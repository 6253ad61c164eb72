// Package standin holds small stand-ins for what surrounds the project in
// tests and in the trial: the platform's key-value service and a target. They
// speak the published protocols and can be made to fail.
package standin
