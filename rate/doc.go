// Package rate enforces limits that hold for all boxes together: on what workspaces are served, and on
// what is sent to backend servers.
//
// Rules:
//
//  1. Within any window no more of a limit is used than its rate over that window, its burst, and what leases
//     add by being spent late (2). The box that leads allocates leases of the limit's token bucket to the others
//     (allocator.go, lessor.go). Each box spends the leases that it holds (limiter.go).
//  2. A lease expires a fixed time after it was requested, by the clock of the box that requested it. Unspent
//     tokens are returned to the allocator that issued the lease.
//  3. A new allocator starts with few tokens, since leases of the previous one may still be spent.
//  4. A box that reaches no leader requests leases from any other box. That box allocates the share of the rate
//     and the burst that corresponds to the boxes that send requests to it, out of all boxes. A box that reaches
//     no other box allocates its own share to itself. All allocators together, however many there are, therefore
//     allocate the rate once, plus the share of the isolated boxes a second time.
//  5. The weight of a request that ends without having run is released.
//  6. Scarce tokens go to more urgent ranks first: a lease to a less urgent rank leaves enough in the bucket for a
//     more urgent rank that was refused recently. To prevent starvation, a refused rank takes precedence after
//     some leases to more urgent ranks, which then leave enough for it (ranks.go).
package rate
