// Package rate keeps to limits that hold for all boxes together: of what workspaces are served, and of
// what backend servers take.
//
// Rules:
//
//  1. In any span no more is had of a limit than its rate over that span and its burst, and what a lease may be late (2).
//     The box that leads allocates leases of the limit's token bucket to the others (allocator.go, lessor.go); each
//     spends what it holds (limiter.go).
//  2. A lease ends a fixed time after it was asked for, by the clock of the box that asked. What was
//     not spent goes back to the allocator that gave it.
//  3. A new allocator begins with little, since what the one before gave may still be spent.
//  4. While a box reaches no leader, any other box allocates to it: of the rate and the burst that
//     part which those that ask there are of all boxes. In the end it allocates to itself, its own
//     part. So all allocators together, however many there are, allocate the rate once; and once
//     more, for those that are cut off, their part of it.
//  5. A request that ends without having run gives its weight back.
//  6. What is left of a limit goes to the more urgent first: a lease to a less urgent rank leaves enough for
//     a more urgent one that was refused lately. After some leases to others before it, it is the turn of a rank that
//     was refused, and the more urgent leave enough for it, so that none starves (turns.go).
package rate
