// All counterparts of a sidecar on loopback sockets: endpoints, discovery and clients with blocking calls,
// and the sidecar itself. Every wait is for an event, with a bound that only a failure reaches.
#pragma once

#include "support/fake_discovery.hpp"
#include "support/fake_upstream.hpp"
#include "support/running_sidecar.hpp"
#include "support/test_client.hpp"
#include "support/test_connection.hpp"
