#include "cassia/gateway/prompt_parts.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
constexpr std::size_t max_parts_counted = 4096;
} // namespace

std::vector<fingerprint> make_part_keys(const service_id& service,
                                        const std::vector<prompt_part_id>& parts) {
    std::vector<fingerprint> keys;
    for (std::size_t i = 0; i < std::min(parts.size(), max_prompt_parts); ++i)
        keys.emplace_back("part:" + service.str() + ":" + parts[i].str());
    return keys;
}

std::uint32_t prompt_part_counts::add(const fingerprint& part) {
    auto found = counts_.find(part);
    if (found != counts_.end()) {
        latest_first_.splice(latest_first_.begin(), latest_first_, found->second);
        return ++found->second->second;
    }
    if (counts_.size() >= max_parts_counted) {
        counts_.erase(latest_first_.back().first);
        latest_first_.pop_back();
    }
    latest_first_.emplace_front(part, 1);
    counts_[part] = latest_first_.begin();
    return 1;
}

std::uint32_t prompt_part_counts::find(const fingerprint& part) const {
    auto found = counts_.find(part);
    return found == counts_.end() ? 0 : found->second->second;
}

} // namespace cassia::gateway
