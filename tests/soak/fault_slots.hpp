// The file of doubles by which a test controls the fault shim of one process. shim_control.py has the same
// layout.
#pragma once

namespace fault_shim {

// Index of each double: first the probability of each fault per call, then settings, then from kInjected on,
// in the order of the faults, how often each was injected.
using Slot = int;
constexpr Slot kShortWrite = 0;         // sends or writes a part only
constexpr Slot kShortRead = 1;          // receives one byte only
constexpr Slot kInterrupted = 2;        // EINTR from a call on a socket or a file
constexpr Slot kAcceptAborted = 3;      // ECONNABORTED from accept
constexpr Slot kAcceptNoFile = 4;       // ENFILE from accept
constexpr Slot kSocketNoBuffers = 5;    // ENOBUFS from socket
constexpr Slot kConnectLocal = 6;       // EADDRNOTAVAIL or ENETUNREACH from connect
constexpr Slot kDiskFull = 7;           // ENOSPC or EIO from write, ENOSPC from renameat
constexpr Slot kSyncFails = 8;          // EIO from fsync
constexpr Slot kStallBeforeSend = 9;    // sleeps before a send
constexpr Slot kBrokenConnection = 10;  // ETIMEDOUT or EHOSTUNREACH on a connection that the process opened
constexpr Slot kWaitInterrupted = 11;   // EINTR from epoll_wait
constexpr Slot kAcknowledgeFails = 12;  // ENOPROTOOPT from setsockopt for TCP_QUICKACK
constexpr Slot kWallOffsetMs = 16;      // added to the wall clock, in milliseconds
constexpr Slot kStallMs = 17;           // the longest stall before a send, in milliseconds
constexpr Slot kInjected = 32;
constexpr Slot kSlots = 64;  // number of doubles in the file

}  // namespace fault_shim
