#include "process/config_change.hpp"

namespace ochregrade::sidecar {

const char* to_string(ConfigChange::Result result) {
    switch (result) {
        case ConfigChange::Result::applied:
            return "applied";
        case ConfigChange::Result::unchanged:
            return "unchanged";
        case ConfigChange::Result::staged:
            return "staged";
        case ConfigChange::Result::valid:
            return "sound";
        case ConfigChange::Result::rejected:
            return "refused";
        case ConfigChange::Result::conflict:
            return "conflict";
        case ConfigChange::Result::missing:
            break;
    }
    return "missing";
}

}  // namespace ochregrade::sidecar
