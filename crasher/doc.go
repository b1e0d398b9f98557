// Package crasher finds requests under which backend servers end, and keeps them from further servers.
//
// Such a request ends each server that begins to run it, and its callers send it again. The
// server's other requests end with it, so that one end shows little: what shows it is that the same
// request stands behind one end after another.
//
// Rules:
//
//  1. A box tells of each request of its own that was at a server when that server ended (Watch). What
//     breaks off at a server that goes on is no sign, nor what was at one that had said it leaves.
//  2. A sign is strong where the server ended before the request's first event or soon after, else
//     weak: who has run for long is the less likely cause. One whose server only fell silent is
//     weak, too: it may be frozen or cut off.
//  3. A sign counts only if the request went to the server after the last server that counts against it
//     had ended. So the loss of a rack, a data hall or all power counts once, however many callers
//     have the same request there.
//  4. A suspect whose signs weigh holdWeight is held: no box sends it to a server any more. All boxes
//     hold the same suspects, since these are part of the agreed state, which a restart of
//     all boxes brings back.
//  5. What a server has answered in full, before or since, is no crasher: its signs do not count for as long as a
//     suspect is remembered. Boxes remember what they saw answered lately (Served). So a prompt that a hundred
//     callers send is not held for the servers that it shared with a guilty one.
//  6. Suspects are kept by the version of the servers' software: a new one may have mended the fault. One that
//     is or was held under another version is held there after one sign.
//  7. What is held is let go after a time that doubles from hold to hold, and is held again after one sign.
//     A suspect that no further sign comes of is forgotten after a time.
//  8. The table is bounded. The lightest suspects make room first, of these the oldest; who is held never makes
//     room for who is not. So a caller who changes a byte each time pushes out only what is as light as its own.
package crasher
