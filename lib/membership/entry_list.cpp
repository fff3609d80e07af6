#include "cassia/membership/entry_list.h"

#include "cassia/base/digest.h"

#include <iterator>
#include <tuple>

namespace cassia::membership {

namespace {
constexpr milliseconds forget_after(60000);
} // namespace

void entry_list::observe(const schema::entry_hello& heartbeat, milliseconds age, instant now) {
    known_entry& known = entries_[entry_id(heartbeat.entry())];
    const instant seen_at = now - age;
    const bool newer = heartbeat.incarnation() > known.heartbeat.incarnation();
    const bool same_incarnation = heartbeat.incarnation() == known.heartbeat.incarnation();
    if (newer || (same_incarnation && seen_at >= known.last_seen)) {
        known.heartbeat = heartbeat;
        known.last_seen = seen_at;
    }
}

std::vector<const schema::entry_hello*> entry_list::alive(instant now) const {
    std::vector<const schema::entry_hello*> out;
    for (const std::pair<const entry_id, known_entry>& known : entries_) {
        if (now - known.second.last_seen < unresponsive_after_)
            out.push_back(&known.second.heartbeat);
    }
    return out;
}

std::vector<const schema::entry_hello*> entry_list::accepting(instant now) const {
    std::vector<const schema::entry_hello*> out;
    for (const schema::entry_hello* heartbeat : alive(now)) {
        if (!heartbeat->draining() && !heartbeat->stale())
            out.push_back(heartbeat);
    }
    return out;
}

std::uint64_t entry_list::version(instant now) {
    std::vector<std::string> names;
    for (const schema::entry_hello* heartbeat : accepting(now))
        names.push_back(heartbeat->entry() + "/" + std::to_string(heartbeat->incarnation()));
    if (names != last_accepting_) {
        last_accepting_ = std::move(names);
        ++version_;
    }
    return version_;
}

void entry_list::forget_old(instant now) {
    for (auto known = entries_.begin(); known != entries_.end();)
        known =
            now - known->second.last_seen > forget_after ? entries_.erase(known) : std::next(known);
}

entry_id steward_of(const endpoint_id& endpoint, const std::string& zone,
                    const std::vector<const schema::entry_hello*>& entries) {
    std::tuple<bool, std::uint64_t> best{false, 0};
    entry_id owner;
    for (const schema::entry_hello* entry : entries) {
        const bool same_zone = entry->zone() == zone;
        const std::tuple<bool, std::uint64_t> rank{
            same_zone, stable_hash(endpoint.str() + "\n" + entry->entry())};
        if (owner.empty() || rank > best) {
            best = rank;
            owner = entry_id(entry->entry());
        }
    }
    return owner;
}

} // namespace cassia::membership
