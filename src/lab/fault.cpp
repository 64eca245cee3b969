#include "lab/fault.hpp"

namespace ochregrade::lab {

std::string_view to_string(FaultKind kind) {
    switch (kind) {
        case FaultKind::kill:
            return "kill";
        case FaultKind::stop:
            return "stop";
        case FaultKind::restart:
            return "restart";
        case FaultKind::servers:
            return "servers";
        case FaultKind::zone:
            return "zone";
        case FaultKind::discovery:
            return "discovery";
        case FaultKind::partition:
            return "partition";
        case FaultKind::loss:
            return "loss";
        case FaultKind::drain:
            return "drain";
        case FaultKind::anew:
            return "anew";
        case FaultKind::stall:
            return "stall";
        case FaultKind::silence:
            return "silence";
        case FaultKind::replace:
            return "replace";
        case FaultKind::settings:
            return "settings";
    }
    return "?";
}

}  // namespace ochregrade::lab
