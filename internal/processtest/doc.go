// Package processtest holds tests of the built program as a process of its own, with a crowd of misbehaving clients
// beside clients that behave, as a deployment with the least memory sees them. It has no code besides its tests.
package processtest
