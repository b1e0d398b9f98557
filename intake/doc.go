// Package intake bounds how many connections a box accepts by how fast it reads from them.
//
// A load balancer may send most new connections to one box for a while. A box that accepts all of them reads all
// slowly: each gets a small share of its link and its processor, and all requests are late. A caller whose connection is
// refused tries another box at once.
//
// Rules:
//
//  1. A connection is being read from its acceptance until its first request has been read in full. One that sends
//     nothing for idleGrace no longer counts: callers open connections ahead of their requests, and a caller that
//     stops in the middle of one must not keep others out.
//  2. A connection is refused if reading what is outstanding, and its own request, would take longer than
//     maxReadTime over the box's link. The size of a request is its declared length, or else the recent average. One
//     connection in each linkProbeInterval is accepted nevertheless, however large the requests being read are.
//  3. A connection is refused while the processor is overloaded: for startInterval, each accepted connection has
//     waited for longer than maxStartDelay until it was first read from. One connection in each startProbeInterval is
//     accepted nevertheless.
//  4. While no connection is being read, the next one is accepted.
//  5. A connection is refused by a reset, before anything is read from it: its caller knows that its request has not
//     run. Requests on connections that are kept open are not refused.
package intake
