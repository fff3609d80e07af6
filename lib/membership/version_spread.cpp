#include "cassia/membership/version_spread.h"

#include <algorithm>

namespace cassia::membership {

static service_version version_of(const schema::endpoint_record& record) {
    return {service_id(record.service()), software_version(record.software_version())};
}

void version_spread::restore(const schema::endpoint_record& record) {
    confirmed_.insert(version_of(record));
}

bool version_spread::note(const schema::endpoint_record& record, std::uint64_t revision,
                          const std::string& from) {
    const service_version version = version_of(record);
    if (confirmed_.count(version) > 0)
        return false;
    const auto [known, is_new] =
        unconfirmed_.try_emplace(version, unconfirmed_version{revision, {}});
    if (!from.empty())
        known->second.known_by.insert(from);
    return is_new;
}

std::vector<service_version>
version_spread::confirm(const std::map<std::string, std::uint64_t>& acknowledged,
                        std::size_t members) {
    std::vector<service_version> confirmed;
    for (auto version = unconfirmed_.begin(); version != unconfirmed_.end();) {
        const unconfirmed_version& known = version->second;
        const auto others = std::count_if(
            acknowledged.begin(), acknowledged.end(),
            [&known](const std::pair<const std::string, std::uint64_t>& keeper) {
                return keeper.second >= known.revision || known.known_by.count(keeper.first) > 0;
            });
        if (static_cast<std::size_t>(others) + 1 < members / 2 + 1) {
            ++version;
            continue;
        }
        confirmed.push_back(version->first);
        confirmed_.insert(version->first);
        version = unconfirmed_.erase(version);
    }
    return confirmed;
}

bool version_spread::is_confirmed(const schema::endpoint_record& record) const {
    return confirmed_.count(version_of(record)) > 0;
}

// A version that returns later is one that the other keepers may have forgotten too. Mostly all
// versions are found within the first few endpoints.
void version_spread::forget_absent(const std::map<endpoint_id, endpoint_state>& endpoints) {
    std::set<service_version> absent = confirmed_;
    for (const std::pair<const service_version, unconfirmed_version>& one : unconfirmed_)
        absent.insert(one.first);
    for (auto one = endpoints.begin(); one != endpoints.end() && !absent.empty(); ++one)
        absent.erase(version_of(one->second.record));
    for (const service_version& version : absent) {
        confirmed_.erase(version);
        unconfirmed_.erase(version);
    }
}

} // namespace cassia::membership
