/// @file
/// Correlation ids of the lab's clients. One carries its sidecar's number, so that a fake server knows which
/// sidecar sent a request without any header of the lab's own.
#pragma once

#include <cstdint>
#include <string>

namespace ochregrade::lab {

/// 16 hex digits: the sidecar in the top 20 bits, the serial's low 44 bits below.
std::string correlation_id(int sidecar, std::uint64_t serial);

/// The sidecar of an id, -1 where the id is not one of the lab's.
int sidecar_of(const std::string& correlation_id);

}  // namespace ochregrade::lab
