/// Connections of a client that are kept for further calls.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/net/tcp_connections.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cassia::net {

struct idle_connection {
    connection_id id;
    instant until{};
    std::vector<std::uint64_t> requests; ///< hashes of the ids that it carried
};

class idle_connections {
public:
    /// \returns whether there was room.
    bool add(const http_address& to, idle_connection kept);
    /// Takes out a connection that hasn't carried the request.
    std::optional<idle_connection> take(const http_address& to,
                                        const std::optional<std::uint64_t>& request, instant now);
    /// \returns the address that it led to, empty if it isn't kept.
    http_address remove(connection_id id);
    /// \returns those to the address.
    std::vector<connection_id> remove_all(const http_address& address);
    std::vector<connection_id> expired(instant now) const;

private:
    std::map<http_address, std::vector<idle_connection>> kept_;
    std::map<connection_id, http_address> addresses_;
};

} // namespace cassia::net
