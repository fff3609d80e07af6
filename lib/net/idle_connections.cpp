#include "idle_connections.h"

#include <algorithm>
#include <utility>

namespace cassia::net {

namespace {
constexpr std::size_t most_idle_each = 32; ///< kept connections to one address
// Bounds the ids that are kept for a connection.
constexpr std::size_t most_requests_each = 1000;
} // namespace

bool idle_connections::add(const http_address& to, idle_connection kept) {
    std::vector<idle_connection>& list = kept_[to];
    if (list.size() >= most_idle_each || kept.requests.size() >= most_requests_each)
        return false;
    addresses_[kept.id] = to;
    list.push_back(std::move(kept));
    return true;
}

// Connections used last come first: the others run out and are closed.
std::optional<idle_connection> idle_connections::take(const http_address& to,
                                                      const std::optional<std::uint64_t>& request,
                                                      instant now) {
    auto found = kept_.find(to);
    if (found == kept_.end())
        return std::nullopt;
    std::vector<idle_connection>& list = found->second;
    const auto is_usable = [&request, now](const idle_connection& one) {
        const bool has_carried = request && std::find(one.requests.begin(), one.requests.end(),
                                                      *request) != one.requests.end();
        return now < one.until && !has_carried;
    };
    auto last = std::find_if(list.rbegin(), list.rend(), is_usable);
    if (last == list.rend())
        return std::nullopt;
    idle_connection taken = std::move(*last);
    list.erase(std::next(last).base());
    addresses_.erase(taken.id);
    return taken;
}

http_address idle_connections::remove(connection_id id) {
    auto found = addresses_.find(id);
    if (found == addresses_.end())
        return {};
    http_address address = found->second;
    std::erase_if(kept_[address], [id](const idle_connection& one) { return one.id == id; });
    addresses_.erase(found);
    return address;
}

std::vector<connection_id> idle_connections::remove_all(const http_address& address) {
    std::vector<connection_id> ids;
    auto found = kept_.find(address);
    if (found == kept_.end())
        return ids;
    for (const idle_connection& one : found->second) {
        addresses_.erase(one.id);
        ids.push_back(one.id);
    }
    kept_.erase(found);
    return ids;
}

std::vector<connection_id> idle_connections::expired(instant now) const {
    std::vector<connection_id> ids;
    for (const std::pair<const http_address, std::vector<idle_connection>>& list : kept_) {
        for (const idle_connection& one : list.second) {
            if (now >= one.until)
                ids.push_back(one.id);
        }
    }
    return ids;
}

} // namespace cassia::net
