// Reads the program's environment variables. Up to version 0.1 their names started with COBALTSHIFT_; these
// former names are still read for one more release.
#pragma once

#include <cstdlib>
#include <string>

namespace ochregrade::sidecar {

/// The value of OCHREGRADE_<name>, else of COBALTSHIFT_<name>; null if neither is set.
inline const char* environment_variable(const std::string& name) {
    if (const char* value = std::getenv(("OCHREGRADE_" + name).c_str())) return value;
    return std::getenv(("COBALTSHIFT_" + name).c_str());
}

}  // namespace ochregrade::sidecar
