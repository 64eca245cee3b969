/// @file
/// ochregrade_adapter: the process that the simulator starts. It uses the simulator's text protocol on
/// standard input and output.
#include <iostream>

#include "simulator/balancer_host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return ochregrade::wire::BalancerHost(std::cin, std::cout, std::cerr).run();
}
