#include "cassia/policy/strikes.h"

#include <algorithm>
#include <iterator>

namespace cassia::policy {

namespace {
constexpr std::size_t quarantine_strikes = 2;
} // namespace

bool strike_list::add(const strike& one) {
    return strikes_[one.request].emplace(one.endpoint, one.at).second;
}

std::size_t strike_list::count(const fingerprint& request, instant now) const {
    auto found = strikes_.find(request);
    if (found == strikes_.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [this, now](const std::pair<const endpoint_id, instant>& one) {
                          return now - one.second < retention_;
                      }));
}

bool strike_list::is_suspect(const fingerprint& request, instant now) const {
    return count(request, now) > 0;
}

bool strike_list::is_quarantined(const fingerprint& request, instant now) const {
    return count(request, now) >= quarantine_strikes;
}

// A request that crashes an endpoint mostly does so before its first output, so the crash is
// attributed to the requests without output, or to the suspect if there is just one among these.
// Otherwise innocent requests beside a poisonous one would collect as many strikes and be
// quarantined with it. An entry whose requests all had output defers, as the cause is likely at
// another entry.
crash_attribution strike_list::attribute_crash(const std::vector<running_request>& running,
                                               instant now) const {
    crash_attribution attribution;
    std::vector<fingerprint> suspects;
    for (const running_request& one : running) {
        if (one.has_output) {
            attribution.deferred.push_back(one.request);
            continue;
        }
        attribution.immediate.push_back(one.request);
        if (is_suspect(one.request, now))
            suspects.push_back(one.request);
    }
    if (suspects.size() == 1)
        attribution.immediate = suspects;
    if (!attribution.immediate.empty())
        attribution.deferred.clear();
    return attribution;
}

bool strike_list::has_strike_since(const endpoint_id& endpoint, instant since) const {
    return std::any_of(strikes_.begin(), strikes_.end(), [&endpoint, since](const auto& one) {
        auto hit = one.second.find(endpoint);
        return hit != one.second.end() && hit->second >= since;
    });
}

std::vector<strike> strike_list::active(instant now) const {
    std::vector<strike> out;
    for (const std::pair<const fingerprint, std::map<endpoint_id, instant>>& one : strikes_) {
        for (const std::pair<const endpoint_id, instant>& hit : one.second) {
            if (now - hit.second < retention_)
                out.push_back({one.first, hit.first, hit.second});
        }
    }
    return out;
}

void strike_list::remove_expired(instant now) {
    for (auto one = strikes_.begin(); one != strikes_.end();)
        one = count(one->first, now) == 0 ? strikes_.erase(one) : std::next(one);
}

} // namespace cassia::policy
