/// Parts of prompts that requests share, and how many runs with each part endpoints survived.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/net/raw_http.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cassia::gateway {

/// Reads the parts of a request's prompt that other requests may share, in order.
using prompt_parts_reader = std::function<std::vector<prompt_part_id>(const net::http_fields&)>;

/// Further parts of a prompt aren't looked at.
inline constexpr std::size_t max_prompt_parts = 16;

/// Identifies the parts as causes of crashes of a service's endpoints.
std::vector<fingerprint> make_part_keys(const service_id& service,
                                        const std::vector<prompt_part_id>& parts);

/// Counts runs by part; parts that were not met for longest are dropped.
class prompt_part_counts {
public:
    /// \returns the new count.
    std::uint32_t add(const fingerprint& part);
    std::uint32_t find(const fingerprint& part) const;
    std::size_t size() const { return counts_.size(); }

private:
    using count_list = std::list<std::pair<fingerprint, std::uint32_t>>;
    count_list latest_first_;
    std::unordered_map<fingerprint, count_list::iterator> counts_;
};

} // namespace cassia::gateway
