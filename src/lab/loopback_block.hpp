// Loopback addresses that no other run of the lab on this machine uses at the same time.
#pragma once

#include <string>

namespace ochregrade::lab {

// Holds one of the blocks 127.128.0.0/16 to 127.223.0.0/16 for as long as it lives. Ports of a run's sidecars
// are found by asking the kernel for a free one and are bound later by the sidecar; on addresses that two
// runs share, the other run may be given the same port in between.
class LoopbackBlock {
public:
    LoopbackBlock();  // throws std::runtime_error where every block is taken
    ~LoopbackBlock();
    LoopbackBlock(const LoopbackBlock&) = delete;
    LoopbackBlock& operator=(const LoopbackBlock&) = delete;

    // The address of sidecar `index` (0 to 62,499), dotted.
    std::string address(int index) const;

private:
    int socket_ = -1;  // bound to a fixed port of the block: the kernel's own lock, gone with the process
    int number_ = 0;
};

}  // namespace ochregrade::lab
