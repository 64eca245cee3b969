// The file of doubles by which a test controls the fault shim of one process. shim_control.py has the same
// layout.
#pragma once

namespace fault_shim {

// Index of each double: first the probability of each fault per call, then settings, then from kInjected on,
// in the order of the faults, how often each was injected.
enum Slot {
    kShortWrite,         // sends or writes a part only
    kShortRead,          // receives one byte only
    kInterrupted,        // EINTR from a call on a socket or a file
    kAcceptAborted,      // ECONNABORTED from accept
    kAcceptNoFile,       // ENFILE from accept
    kSocketNoBuffers,    // ENOBUFS from socket
    kConnectLocal,       // EADDRNOTAVAIL or ENETUNREACH from connect
    kDiskFull,           // ENOSPC or EIO from write, ENOSPC from renameat
    kSyncFails,          // EIO from fsync
    kStallBeforeSend,    // sleeps before a send
    kBrokenConnection,   // ETIMEDOUT or EHOSTUNREACH on a connection that the process opened
    kWaitInterrupted,    // EINTR from epoll_wait
    kWallOffsetMs = 16,  // added to the wall clock, in milliseconds
    kStallMs = 17,       // the longest stall before a send, in milliseconds
    kInjected = 32,
    kSlots = 64  // number of doubles in the file
};

}  // namespace fault_shim
