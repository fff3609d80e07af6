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
                          return now - one.second < memory_;
                      }));
}

bool strike_list::is_suspect(const fingerprint& request, instant now) const {
    return count(request, now) > 0;
}

bool strike_list::is_quarantined(const fingerprint& request, instant now) const {
    return count(request, now) >= quarantine_strikes;
}

// Without this, the innocent requests beside a poisonous one collect as many strikes as it does,
// and are quarantined with it. A suspect runs beside no other, so the second death is its own.
std::vector<fingerprint> strike_list::blame(const std::vector<fingerprint>& running,
                                            instant now) const {
    std::vector<fingerprint> suspects;
    std::copy_if(running.begin(), running.end(), std::back_inserter(suspects),
                 [this, now](const fingerprint& one) { return is_suspect(one, now); });
    return suspects.size() == 1 ? suspects : running;
}

std::vector<strike> strike_list::all(instant now) const {
    std::vector<strike> out;
    for (const std::pair<const fingerprint, std::map<endpoint_id, instant>>& one : strikes_) {
        for (const std::pair<const endpoint_id, instant>& hit : one.second) {
            if (now - hit.second < memory_)
                out.push_back({one.first, hit.first, hit.second});
        }
    }
    return out;
}

void strike_list::forget_old(instant now) {
    for (auto one = strikes_.begin(); one != strikes_.end();)
        one = count(one->first, now) == 0 ? strikes_.erase(one) : std::next(one);
}

} // namespace cassia::policy
